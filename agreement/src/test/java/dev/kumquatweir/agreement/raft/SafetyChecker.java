package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.codec.MembershipCodec;
import dev.kumquatweir.agreement.lease.ConfigurationLeaseTable;
import dev.kumquatweir.agreement.lease.RolloutStatus;
import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.state.ClaimKey;
import dev.kumquatweir.agreement.state.Claimant;
import dev.kumquatweir.agreement.state.StateLimits;
import dev.kumquatweir.agreement.state.StateMachine;
import dev.kumquatweir.agreement.state.StateResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Knows everything that happened and fails at the first broken rule. */
final class SafetyChecker {
    private final Simulation mSimulation;
    private final Map<Long, String> mLeaders = new HashMap<>();
    private final List<LogEntry> mCommitted = new ArrayList<>();
    private final List<Long> mCommitTerms = new ArrayList<>();
    private final List<StateResult> mResults = new ArrayList<>();
    private final Map<String, Long> mVersions = new HashMap<>();
    private final Map<ClaimKey, Claimant> mExecuted = new HashMap<>();
    private final StateMachine mReference = new StateMachine(StateLimits.STANDARD);
    private Membership mMembership;
    private long mVersionInForce;
    private long mMembershipChanges;
    private long mChecks;

    SafetyChecker(Simulation simulation, Membership founding) {
        mSimulation = simulation;
        mMembership = founding;
    }

    Membership committedMembership() {
        return mMembership;
    }

    StateMachine reference() {
        return mReference;
    }

    /** Index 1 is the founding snapshot; the first committed entry has index 2. */
    long committedIndex() {
        return mCommitted.size() + 1L;
    }

    long versionInForce() {
        return mVersionInForce;
    }

    long membershipChanges() {
        return mMembershipChanges;
    }

    void onLeader(SimulatedInstance instance, long term) {
        String identity = instance.node().self().toString();
        String other = mLeaders.putIfAbsent(term, identity);
        require(other == null || other.equals(identity), "election safety", "two in term " + term);
        RaftLog log = instance.node().replica().log();
        for (LogEntry entry : mCommitted) {
            // A leader elected late in an earlier term need not have what a newer one committed.
            boolean known =
                    mCommitTerms.get((int) entry.index() - 2) >= term
                            || entry.index() <= log.baseIndex()
                            || log.term(entry.index()) == entry.term();
            require(known, "leader completeness", identity + " lacks " + entry.index());
        }
    }

    void onApplied(SimulatedInstance instance, LogEntry entry, StateResult result) {
        int position = (int) entry.index() - 2;
        if (position == mCommitted.size()) {
            mCommitted.add(entry);
            mCommitTerms.add(instance.node().term());
            mResults.add(mReference.apply(entry));
            if (entry.kind() == EntryKind.MEMBERSHIP) {
                mMembershipChanges++;
                mMembership = MembershipCodec.decode(entry.payload()).get();
            }
        }
        require(
                mCommitted.get(position).equals(entry) && mResults.get(position).equals(result),
                "state machine safety",
                instance.name() + " applied another entry or result at " + entry.index());
    }

    void onRestored(SimulatedInstance instance, SnapshotImage snapshot) {
        require(
                snapshot.index() <= committedIndex(),
                "state machine safety",
                instance.name() + " restored beyond the committed index");
        if (snapshot.index() == committedIndex()) {
            boolean equal = snapshot.index() == 1 || mReference.snapshot().equals(snapshot.data());
            require(equal, "state machine safety", "snapshot differs at " + snapshot.index());
        }
        mVersions.remove(instance.name());
    }

    void onRead(SimulatedInstance instance, long index, long committedWhenAsked) {
        require(index >= committedWhenAsked, "linearizable read", instance.name() + " read stale");
    }

    void onForceStatus(SimulatedInstance leader, ConfigurationLeaseTable table, long version) {
        for (long each = mVersionInForce + 1; each <= version; each++) {
            if (table.status(each, leader.localNanos()) instanceof RolloutStatus.InForce) {
                mVersionInForce = each;
            }
        }
    }

    void onExecuted(ClaimKey key, Claimant claimant) {
        Claimant earlier = mExecuted.putIfAbsent(key, claimant);
        require(earlier == null, "one grant for each claim", key + " executed twice");
    }

    /** Checks what has to hold after each step of an instance. */
    void check(SimulatedInstance instance) {
        mChecks++;
        long version = instance.machine().configurationVersion();
        Long before = mVersions.put(instance.name() + instance.life(), version);
        require(before == null || before <= version, "configuration monotonicity", "went back");
        for (SimulatedInstance each : mSimulation.instances()) {
            if (!each.isUp() || each.isFrozen()) {
                continue;
            }
            long now = each.localNanos();
            boolean stale = each.holder().maySend(now) && each.holder().version() < mVersionInForce;
            require(!stale, "configuration lease", each.name() + " serves under an old version");
            if (each.isLeader() && each.node().leaderLeaseNanos(now) > 0) {
                checkLeaderLease(each);
            }
        }
        if (mChecks % 16 == 0) {
            checkLogMatching(instance);
        }
    }

    private void checkLeaderLease(SimulatedInstance holder) {
        for (SimulatedInstance other : mSimulation.instances()) {
            boolean newer = other.isLeader() && other.node().term() > holder.node().term();
            require(!newer, "leader lease", holder.name() + " has a lease beside a newer leader");
        }
    }

    private void checkLogMatching(SimulatedInstance instance) {
        RaftLog log = instance.node().replica().log();
        for (SimulatedInstance other : mSimulation.instances()) {
            if (!other.isUp() || other == instance) {
                continue;
            }
            RaftLog otherLog = other.node().replica().log();
            boolean matched = false;
            long last = Math.min(log.lastIndex(), otherLog.lastIndex());
            long first = Math.max(log.baseIndex(), otherLog.baseIndex()) + 1;
            for (long index = last; index >= first; index--) {
                boolean equal = log.term(index) == otherLog.term(index);
                require(equal || !matched, "log matching", "at " + index);
                matched = equal;
                require(
                        !equal || log.entry(index).equals(otherLog.entry(index)),
                        "log matching",
                        "content differs at " + index);
            }
        }
    }

    void require(boolean holds, String rule, String detail) {
        if (!holds) {
            throw new AssertionError("broken rule: " + rule + ": " + detail);
        }
    }
}
