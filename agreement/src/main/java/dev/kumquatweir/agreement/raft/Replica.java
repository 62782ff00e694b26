package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StoredState;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * State shared by all roles of one replica, and its transitions between roles. Owns term, vote,
 * log, commit index and election deadline. Called only by the thread that steps the {@link
 * RaftNode}.
 */
final class Replica {
    /** Lost heartbeats of a learner after which its leader counts as gone. */
    private static final int SILENT_LEADER_HEARTBEATS = 3;

    /**
     * Time after which a snapshot that was requested counts as lost, for example because its
     * encoding failed. The log is not cut without one.
     */
    private static final long SNAPSHOT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final MemberId mSelf;
    private final RaftSettings mSettings;
    private final RandomGenerator mRandom;
    private final RaftLog mLog;
    private final Outbox mOutbox;
    private long mTerm;
    private String mVotedFor;
    private RaftRole mRole = RaftRole.FOLLOWER;
    private @Nullable MemberId mLeaderId;
    private @Nullable Leader mLeader;
    private long mCommitIndex;
    private long mAppliedBytes;
    private long mRequestedSnapshotIndex;
    private long mSnapshotRequestedNanos;
    private long mLeaderContactNanos;
    private long mElectionDeadlineNanos;
    private RaftOutput.@Nullable RoleChanged mLastReportedRole;

    Replica(
            RaftSettings settings,
            MemberId self,
            StoredState state,
            RandomGenerator random,
            long nowNanos) {
        mSettings = settings;
        mSelf = self;
        mRandom = random;
        mLog = new RaftLog(state);
        mOutbox = new Outbox(mLog.lastIndex());
        mTerm = Math.max(state.hardState().term(), mLog.lastTerm());
        mVotedFor = mTerm == state.hardState().term() ? state.hardState().votedFor() : "";
        mCommitIndex = mLog.snapshotIndex();
        // The voter may have acknowledged a leader, and so extended its lease, just before the
        // restart; the restart therefore counts as leader contact.
        boolean quietAfterRestart = settings.isEnabled(RaftRule.QUIET_AFTER_RESTART);
        mLeaderContactNanos =
                quietAfterRestart ? nowNanos : nowNanos - settings.minElectionTimeoutNanos();
        resetElectionDeadline(nowNanos);
    }

    MemberId self() {
        return mSelf;
    }

    RaftSettings settings() {
        return mSettings;
    }

    RaftLog log() {
        return mLog;
    }

    Outbox outbox() {
        return mOutbox;
    }

    long term() {
        return mTerm;
    }

    String votedFor() {
        return mVotedFor;
    }

    RaftRole role() {
        return mRole;
    }

    Optional<MemberId> leaderId() {
        return Optional.ofNullable(mLeaderId);
    }

    @Nullable Leader leader() {
        return mLeader;
    }

    long commitIndex() {
        return mCommitIndex;
    }

    long electionDeadlineNanos() {
        return mElectionDeadlineNanos;
    }

    long durableIndex() {
        return mSettings.isEnabled(RaftRule.SYNC_BEFORE_ACKNOWLEDGE)
                ? mOutbox.durableIndex()
                : mLog.lastIndex();
    }

    boolean isVoter() {
        return !mSelf.isVolatile() && mLog.membership().isVoter(mSelf);
    }

    /** Returns the member with the name and store id of a sender, if there is one. */
    Optional<MemberId> matchingMember(MemberId sender) {
        if (mSettings.isEnabled(RaftRule.STORE_ID_COUNTS)) {
            return mLog.membership().find(sender).map(member -> member.id());
        }
        return mLog.membership().byName(sender.name()).map(member -> member.id());
    }

    /** Returns whether there was contact with a leader within the minimum election timeout. */
    boolean hasRecentLeaderContact(long nowNanos) {
        if (!mSettings.isEnabled(RaftRule.STICKY_VOTERS)) {
            return false;
        }
        return mLeader != null
                ? mLeader.hasRecentQuorumContact(nowNanos)
                : nowNanos - mLeaderContactNanos < mSettings.minElectionTimeoutNanos();
    }

    void onLeaderContact(MemberId leader, long nowNanos) {
        mLeaderId = leader;
        mLeaderContactNanos = nowNanos;
        resetElectionDeadline(nowNanos);
    }

    /**
     * Forgets a leader without contact for several heartbeats of a learner. A learner that was
     * removed while it was cut off would otherwise believe in its leader for ever and not join
     * again.
     */
    void forgetLeaderWithoutContact(long nowNanos) {
        if (nowNanos - mLeaderContactNanos > silenceLimitNanos()) {
            mLeaderId = null;
        }
    }

    /** Returns the time without a message after which a leader or member counts as gone. */
    long silenceLimitNanos() {
        return SILENT_LEADER_HEARTBEATS * mSettings.learnerHeartbeatIntervalNanos()
                + mSettings.maxElectionTimeoutNanos();
    }

    void resetElectionDeadline(long nowNanos) {
        long spreadNanos =
                mSettings.maxElectionTimeoutNanos() - mSettings.minElectionTimeoutNanos();
        mElectionDeadlineNanos =
                nowNanos
                        + mSettings.minElectionTimeoutNanos()
                        + mRandom.nextLong(Math.max(1, spreadNanos));
    }

    /** Becomes a follower in the given term if newer, else the current one; ends leadership. */
    void becomeFollower(long term, long nowNanos) {
        if (term > mTerm) {
            mTerm = term;
            mVotedFor = "";
            storeHardState();
        }
        Leader endedLeader = mLeader;
        mLeader = null;
        mLeaderId = null;
        if (mRole != RaftRole.FOLLOWER) {
            mRole = RaftRole.FOLLOWER;
            resetElectionDeadline(nowNanos);
        }
        if (endedLeader != null) {
            endedLeader.failPendingRequests();
        }
    }

    void becomePreCandidate(long nowNanos) {
        mRole = RaftRole.PRE_CANDIDATE;
        mLeaderId = null;
        resetElectionDeadline(nowNanos);
    }

    void becomeCandidate(long nowNanos) {
        mRole = RaftRole.CANDIDATE;
        mLeaderId = null;
        mTerm++;
        mVotedFor = mSelf.storeId();
        storeHardState();
        resetElectionDeadline(nowNanos);
    }

    void becomeLeader(long nowNanos) {
        mRole = RaftRole.LEADER;
        mLeaderId = mSelf;
        mLeader = new Leader(this, nowNanos);
        mLeader.start(nowNanos);
    }

    void recordVote(MemberId candidate, long nowNanos) {
        if (!mVotedFor.equals(candidate.storeId())) {
            mVotedFor = candidate.storeId();
            storeHardState();
        }
        resetElectionDeadline(nowNanos);
    }

    /** Returns whether a candidate's log is at least as up-to-date as this log. */
    boolean isCandidateUpToDate(long lastIndex, long lastTerm) {
        if (!mSettings.isEnabled(RaftRule.UP_TO_DATE_CANDIDATE)) {
            return true;
        }
        return lastTerm > mLog.lastTerm()
                || (lastTerm == mLog.lastTerm() && lastIndex >= mLog.lastIndex());
    }

    RaftMessage message(MemberId to, MessageBody body) {
        return new RaftMessage(mSettings.clusterId(), mSelf, to, mTerm, body);
    }

    /** Advances the commit index and applies the newly committed entries. */
    void commitTo(long index) {
        while (mCommitIndex < index) {
            mCommitIndex++;
            var entry = mLog.entry(mCommitIndex);
            long requestId = mLeader == null ? 0 : mLeader.requests().removeProposal(mCommitIndex);
            mAppliedBytes += RaftLog.bytes(entry);
            mOutbox.add(new RaftOutput.Apply(entry, requestId));
        }
    }

    /**
     * Requests a snapshot if enough was applied since the last one. Waits until that is synced, so
     * that snapshots don't accumulate before a full disk.
     */
    void requestSnapshotIfDue(long nowNanos) {
        boolean due =
                mCommitIndex - mLog.snapshotIndex() >= mSettings.snapshotIntervalEntries()
                        || mAppliedBytes >= snapshotIntervalBytes();
        boolean requested =
                mRequestedSnapshotIndex > mLog.snapshotIndex()
                        && nowNanos - mSnapshotRequestedNanos < SNAPSHOT_TIMEOUT_NANOS;
        if (due && !requested && !mOutbox.hasUnsyncedSnapshot()) {
            mRequestedSnapshotIndex = mCommitIndex;
            mSnapshotRequestedNanos = nowNanos;
            mOutbox.add(new RaftOutput.TakeSnapshot(mCommitIndex));
        }
    }

    private long snapshotIntervalBytes() {
        SnapshotImage snapshot = mLog.snapshot();
        long snapshotBytes = snapshot == null ? 0 : snapshot.data().size();
        long intervalBytes = Math.max(mSettings.snapshotIntervalBytes(), snapshotBytes);
        return Math.min(intervalBytes, mSettings.maxSnapshotIntervalBytes());
    }

    void onSnapshotTaken(RaftInput.SnapshotTaken taken, long nowNanos) {
        long index = taken.index();
        if (index <= mLog.snapshotIndex() || index > mCommitIndex) {
            return;
        }
        var image =
                new SnapshotImage(index, mLog.term(index), mLog.membershipAt(index), taken.data());
        long neededIndex = mLeader == null ? Long.MAX_VALUE : mLeader.neededIndex(nowNanos);
        long compactThrough = LogRetention.compactThrough(mLog, mSettings, index, neededIndex);
        mAppliedBytes = mLog.bytesBetween(index, mCommitIndex);
        mLog.compact(image, compactThrough);
        mOutbox.storeSnapshot(image, compactThrough);
    }

    /** Installs a received snapshot that is ahead of the commit index. */
    void installSnapshot(SnapshotImage image) {
        if (mLog.term(image.index()) == image.term()) {
            commitTo(image.index());
            return;
        }
        mOutbox.truncateFrom(1);
        mOutbox.storeSnapshot(image, image.index());
        mLog.restore(image);
        mCommitIndex = image.index();
        mRequestedSnapshotIndex = 0;
        mAppliedBytes = 0;
        mOutbox.add(new RaftOutput.Restore(image));
    }

    /** Outputs the role, term and leader if they have changed since the last report. */
    void reportRoleChange() {
        var current = new RaftOutput.RoleChanged(mRole, mTerm, leaderId());
        if (!current.equals(mLastReportedRole)) {
            mLastReportedRole = current;
            mOutbox.add(current);
        }
    }

    private void storeHardState() {
        mOutbox.storeHardState(new HardState(mTerm, mVotedFor));
    }
}
