package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StoredState;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** State that all roles of one replica share: term, vote, log, commit index. One thread. */
final class Replica {
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
    private long mRequestedSnapshot;
    private long mLeaderContactNanos;
    private long mElectionDeadlineNanos;
    private RaftOutput.@Nullable RoleChanged mAnnounced;

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
        // A restarted voter may have acknowledged a leader just before; it counts as heard now.
        boolean quiet = settings.has(RaftRule.QUIET_AFTER_RESTART);
        mLeaderContactNanos = quiet ? nowNanos : nowNanos - settings.minElectionTimeoutNanos();
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
        return mSettings.has(RaftRule.SYNC_BEFORE_ACKNOWLEDGE)
                ? mOutbox.durableIndex()
                : mLog.lastIndex();
    }

    boolean isVoter() {
        return !mSelf.isVolatile() && mLog.membership().isVoter(mSelf);
    }

    /** Returns the member that counts for a sender, if any: name and store id have to match. */
    Optional<MemberId> countedMember(MemberId sender) {
        if (mSettings.has(RaftRule.STORE_ID_COUNTS)) {
            return mLog.membership().find(sender).map(member -> member.id());
        }
        return mLog.membership().byName(sender.name()).map(member -> member.id());
    }

    /** Returns whether a leader was heard from within the minimum election timeout. */
    boolean heardLeaderLately(long nowNanos) {
        if (!mSettings.has(RaftRule.STICKY_VOTERS)) {
            return false;
        }
        return mLeader != null
                ? mLeader.quorumHeardLately(nowNanos)
                : nowNanos - mLeaderContactNanos < mSettings.minElectionTimeoutNanos();
    }

    void onLeaderContact(MemberId leader, long nowNanos) {
        mLeaderId = leader;
        mLeaderContactNanos = nowNanos;
        resetElectionDeadline(nowNanos);
    }

    void resetElectionDeadline(long nowNanos) {
        long spread = mSettings.maxElectionTimeoutNanos() - mSettings.minElectionTimeoutNanos();
        mElectionDeadlineNanos =
                nowNanos
                        + mSettings.minElectionTimeoutNanos()
                        + mRandom.nextLong(Math.max(1, spread));
    }

    /** Adopts a term (or keeps the present one) and follows; ends leadership. */
    void becomeFollower(long term, long nowNanos) {
        if (term > mTerm) {
            mTerm = term;
            mVotedFor = "";
            storeHardState();
        }
        Leader ended = mLeader;
        mLeader = null;
        mLeaderId = null;
        if (mRole != RaftRole.FOLLOWER) {
            mRole = RaftRole.FOLLOWER;
            resetElectionDeadline(nowNanos);
        }
        if (ended != null) {
            ended.end();
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

    void voteFor(MemberId candidate, long nowNanos) {
        if (!mVotedFor.equals(candidate.storeId())) {
            mVotedFor = candidate.storeId();
            storeHardState();
        }
        resetElectionDeadline(nowNanos);
    }

    /** Returns whether a candidate's log holds all that this log may have acknowledged. */
    boolean isUpToDate(long lastIndex, long lastTerm) {
        if (!mSettings.has(RaftRule.UP_TO_DATE_CANDIDATE)) {
            return true;
        }
        return lastTerm > mLog.lastTerm()
                || (lastTerm == mLog.lastTerm() && lastIndex >= mLog.lastIndex());
    }

    RaftMessage message(MemberId to, MessageBody body) {
        return new RaftMessage(mSettings.clusterId(), mSelf, to, mTerm, body);
    }

    /** Moves the commit index and applies what it newly covers. */
    void commitTo(long index) {
        while (mCommitIndex < index) {
            mCommitIndex++;
            var entry = mLog.entry(mCommitIndex);
            long requestId = mLeader == null ? 0 : mLeader.requests().take(mCommitIndex);
            mAppliedBytes += entry.payload().size();
            mOutbox.add(new RaftOutput.Apply(entry, requestId));
        }
        boolean due =
                mCommitIndex - mLog.snapshotIndex() >= mSettings.snapshotIntervalEntries()
                        || mAppliedBytes >= mSettings.snapshotIntervalBytes();
        if (due && mRequestedSnapshot <= mLog.snapshotIndex()) {
            mRequestedSnapshot = mCommitIndex;
            mOutbox.add(new RaftOutput.TakeSnapshot(mCommitIndex));
        }
    }

    void onSnapshotTaken(RaftInput.SnapshotTaken taken) {
        long index = taken.index();
        if (index <= mLog.snapshotIndex() || index > mCommitIndex) {
            return;
        }
        var image =
                new SnapshotImage(index, mLog.term(index), mLog.membershipAt(index), taken.data());
        long compactThrough = Math.max(0, index - mSettings.trailingEntries());
        mLog.compact(image, compactThrough);
        mOutbox.storeSnapshot(image, compactThrough);
        mAppliedBytes = 0;
    }

    /** Takes over a received snapshot that is ahead of the commit index. */
    void install(SnapshotImage image) {
        if (mLog.term(image.index()) == image.term()) {
            commitTo(image.index());
            return;
        }
        mOutbox.truncateFrom(1);
        mOutbox.storeSnapshot(image, image.index());
        mLog.replace(image);
        mCommitIndex = image.index();
        mRequestedSnapshot = 0;
        mAppliedBytes = 0;
        mOutbox.add(new RaftOutput.Restore(image));
    }

    /** Reports a change of role, term or leader since the last report. */
    void announceRole() {
        var present = new RaftOutput.RoleChanged(mRole, mTerm, leaderId());
        if (!present.equals(mAnnounced)) {
            mAnnounced = present;
            mOutbox.add(present);
        }
    }

    private void storeHardState() {
        mOutbox.storeHardState(new HardState(mTerm, mVotedFor));
    }
}
