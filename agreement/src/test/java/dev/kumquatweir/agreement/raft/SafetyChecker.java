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

/**
 * Observes all instances of a simulation and throws an {@link AssertionError} at the first violated
 * invariant.
 */
final class SafetyChecker {
    private final Simulation mSimulation;
    private final Map<Long, String> mLeaderByTerm = new HashMap<>();
    private final List<LogEntry> mCommitted = new ArrayList<>();
    private final List<Long> mFirstApplierTerms = new ArrayList<>();
    private final List<StateResult> mResults = new ArrayList<>();
    private final Map<String, Long> mLastVersions = new HashMap<>();
    private final Map<ClaimKey, Claimant> mExecutedClaims = new HashMap<>();
    private final StateMachine mReference = new StateMachine(StateLimits.STANDARD);
    private Membership mMembership;
    private long mVersionInForce;
    private long mMembershipChanges;
    private long mCheckCount;

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

    /** Returns the last committed index; index 1 is the first snapshot, entries start at 2. */
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
        String knownLeader = mLeaderByTerm.putIfAbsent(term, identity);
        require(
                knownLeader == null || knownLeader.equals(identity),
                "election safety",
                "two in term " + term);
        RaftLog log = instance.node().replica().log();
        for (LogEntry entry : mCommitted) {
            // A leader of an earlier term need not have entries committed in a later term.
            boolean present =
                    mFirstApplierTerms.get((int) entry.index() - 2) >= term
                            || entry.index() <= log.baseIndex()
                            || log.term(entry.index()) == entry.term();
            require(present, "leader completeness", identity + " lacks " + entry.index());
        }
    }

    void onApplied(SimulatedInstance instance, LogEntry entry, StateResult result) {
        int position = (int) entry.index() - 2;
        if (position == mCommitted.size()) {
            mCommitted.add(entry);
            mFirstApplierTerms.add(instance.node().term());
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
        mLastVersions.remove(instance.name());
    }

    void onRead(SimulatedInstance instance, long index, long committedWhenAsked) {
        require(index >= committedWhenAsked, "linearizable read", instance.name() + " read stale");
    }

    void onForceStatus(SimulatedInstance leader, ConfigurationLeaseTable table, long version) {
        for (long candidate = mVersionInForce + 1; candidate <= version; candidate++) {
            if (table.status(candidate, leader.localNanos()) instanceof RolloutStatus.InForce) {
                mVersionInForce = candidate;
            }
        }
    }

    void onExecuted(ClaimKey key, Claimant claimant) {
        Claimant earlier = mExecutedClaims.putIfAbsent(key, claimant);
        require(earlier == null, "one grant for each claim", key + " executed twice");
    }

    /** Checks the invariants that must hold after each step of an instance. */
    void checkAfterStep(SimulatedInstance instance) {
        mCheckCount++;
        long version = instance.stateMachine().configurationVersion();
        Long previousVersion = mLastVersions.put(instance.name() + instance.generation(), version);
        require(
                previousVersion == null || previousVersion <= version,
                "configuration monotonicity",
                "went back");
        for (SimulatedInstance replica : mSimulation.instances()) {
            if (!replica.isUp() || replica.isFrozen()) {
                continue;
            }
            long nowNanos = replica.localNanos();
            boolean servesOldVersion =
                    replica.leaseHolder().maySend(nowNanos)
                            && replica.leaseHolder().version() < mVersionInForce;
            require(
                    !servesOldVersion,
                    "configuration lease",
                    replica.name() + " serves under an old version");
            if (replica.isLeader() && replica.node().leaderLeaseNanos(nowNanos) > 0) {
                checkLeaderLease(replica);
            }
        }
        if (mCheckCount % 16 == 0) {
            checkLogMatching(instance);
        }
    }

    private void checkLeaderLease(SimulatedInstance holder) {
        for (SimulatedInstance other : mSimulation.instances()) {
            boolean newerLeader = other.isLeader() && other.node().term() > holder.node().term();
            require(
                    !newerLeader,
                    "leader lease",
                    holder.name() + " has a lease beside a newer leader");
        }
    }

    private void checkLogMatching(SimulatedInstance instance) {
        RaftLog log = instance.node().replica().log();
        for (SimulatedInstance other : mSimulation.instances()) {
            if (!other.isUp() || other == instance) {
                continue;
            }
            RaftLog otherLog = other.node().replica().log();
            boolean matchedAbove = false;
            long last = Math.min(log.lastIndex(), otherLog.lastIndex());
            long first = Math.max(log.baseIndex(), otherLog.baseIndex()) + 1;
            for (long index = last; index >= first; index--) {
                boolean equal = log.term(index) == otherLog.term(index);
                require(equal || !matchedAbove, "log matching", "at " + index);
                matchedAbove = equal;
                require(
                        !equal || log.entry(index).equals(otherLog.entry(index)),
                        "log matching",
                        "content differs at " + index);
            }
        }
    }

    void require(boolean condition, String invariant, String detail) {
        if (!condition) {
            throw new AssertionError("broken rule: " + invariant + ": " + detail);
        }
    }
}
