package dev.kumquatweir.agreement.raft;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Settings of a replica. Immutable; made by {@link #builder}. */
public final class RaftSettings {
    private final Builder mValues;

    private RaftSettings(Builder values) {
        mValues = new Builder(values);
    }

    /**
     * Starts with the standard values.
     *
     * @param clusterId id of the group; messages of another group are dropped
     */
    public static Builder builder(String clusterId) {
        return new Builder(clusterId);
    }

    /** Returns the id of the group. */
    public String clusterId() {
        return mValues.mClusterId;
    }

    /** Returns the time between heartbeats to voters. */
    public long heartbeatIntervalNanos() {
        return mValues.mHeartbeatNanos;
    }

    /** Returns the time between heartbeats to learners, which never elect anybody. */
    public long learnerHeartbeatIntervalNanos() {
        return mValues.mLearnerHeartbeatNanos;
    }

    /** Returns the shortest election timeout, also the time for which voters are sticky. */
    public long minElectionTimeoutNanos() {
        return mValues.mMinElectionNanos;
    }

    /** Returns the longest election timeout. */
    public long maxElectionTimeoutNanos() {
        return mValues.mMaxElectionNanos;
    }

    /**
     * Returns how long a quorum's acknowledgement keeps the leader lease, from when it was asked.
     */
    public long leaderLeaseNanos() {
        // A tenth is left for clocks of voters that run faster than the leader's.
        return mValues.mMinElectionNanos / 10 * 9;
    }

    /** Returns the most entries in one append message. */
    public int maxBatchEntries() {
        return mValues.mBatchEntries;
    }

    /** Returns the most payload bytes in one append message, unless its only entry is larger. */
    public int maxBatchBytes() {
        return mValues.mBatchBytes;
    }

    /** Returns the most append messages on their way to one member. */
    public int maxInflightBatches() {
        return mValues.mWindowBatches;
    }

    /** Returns the size of a snapshot chunk. */
    public int snapshotChunkBytes() {
        return mValues.mChunkBytes;
    }

    /** Returns after how many applied entries a snapshot is due. */
    public int snapshotIntervalEntries() {
        return mValues.mSnapshotEntries;
    }

    /** Returns after how many applied payload bytes a snapshot is due. */
    public long snapshotIntervalBytes() {
        return mValues.mSnapshotBytes;
    }

    /** Returns how many entries before a snapshot are kept for members that lag a little. */
    public int trailingEntries() {
        return mValues.mTrailingEntries;
    }

    /** Returns the largest payload of a proposal. */
    public int maxProposalBytes() {
        return mValues.mLargestProposalBytes;
    }

    /** Returns the most payload bytes that may wait for commit (leader) or sync (follower). */
    public long maxBacklogBytes() {
        return mValues.mBacklogBytes;
    }

    /**
     * Returns on how many voters an entry has to be synced before it is committed, if that is more
     * than a quorum: a small group must survive the loss of more disks than its quorum allows for.
     */
    public int durableCopies() {
        return mValues.mDurableCopies;
    }

    boolean has(RaftRule rule) {
        return mValues.mRules.contains(rule);
    }

    /** Collects settings. Used by one thread. */
    public static final class Builder {
        private final String mClusterId;
        private final Set<RaftRule> mRules = EnumSet.allOf(RaftRule.class);
        private long mHeartbeatNanos = TimeUnit.MILLISECONDS.toNanos(100);
        private long mLearnerHeartbeatNanos = TimeUnit.MILLISECONDS.toNanos(500);
        private long mMinElectionNanos = TimeUnit.MILLISECONDS.toNanos(600);
        private long mMaxElectionNanos = TimeUnit.MILLISECONDS.toNanos(1200);
        private int mBatchEntries = 256;
        private int mBatchBytes = 512 * 1024;
        private int mWindowBatches = 16;
        private int mChunkBytes = 256 * 1024;
        private int mSnapshotEntries = 10_000;
        private long mSnapshotBytes = 16L * 1024 * 1024;
        private int mTrailingEntries = 1_000;
        private int mLargestProposalBytes = 4 * 1024 * 1024;
        private long mBacklogBytes = 16L * 1024 * 1024;
        private int mDurableCopies = 1;

        private Builder(String clusterId) {
            mClusterId = clusterId;
        }

        private Builder(Builder other) {
            mClusterId = other.mClusterId;
            mRules.retainAll(other.mRules);
            mHeartbeatNanos = other.mHeartbeatNanos;
            mLearnerHeartbeatNanos = other.mLearnerHeartbeatNanos;
            mMinElectionNanos = other.mMinElectionNanos;
            mMaxElectionNanos = other.mMaxElectionNanos;
            mBatchEntries = other.mBatchEntries;
            mBatchBytes = other.mBatchBytes;
            mWindowBatches = other.mWindowBatches;
            mChunkBytes = other.mChunkBytes;
            mSnapshotEntries = other.mSnapshotEntries;
            mSnapshotBytes = other.mSnapshotBytes;
            mTrailingEntries = other.mTrailingEntries;
            mLargestProposalBytes = other.mLargestProposalBytes;
            mBacklogBytes = other.mBacklogBytes;
            mDurableCopies = other.mDurableCopies;
        }

        /** Sets the time between heartbeats. */
        public Builder heartbeatIntervalMillis(long voters, long learners) {
            mHeartbeatNanos = TimeUnit.MILLISECONDS.toNanos(voters);
            mLearnerHeartbeatNanos = TimeUnit.MILLISECONDS.toNanos(learners);
            return this;
        }

        /** Sets the range of election timeouts. */
        public Builder electionTimeoutMillis(long shortest, long longest) {
            mMinElectionNanos = TimeUnit.MILLISECONDS.toNanos(shortest);
            mMaxElectionNanos = TimeUnit.MILLISECONDS.toNanos(longest);
            return this;
        }

        /** Sets the bounds of append messages. */
        public Builder batchLimits(int entries, int bytes, int window) {
            mBatchEntries = entries;
            mBatchBytes = bytes;
            mWindowBatches = window;
            return this;
        }

        /** Sets the size of a snapshot chunk. */
        public Builder snapshotChunkBytes(int bytes) {
            mChunkBytes = bytes;
            return this;
        }

        /** Sets when a snapshot is due and how many entries before it stay. */
        public Builder snapshotPolicy(int entries, long bytes, int trailingEntries) {
            mSnapshotEntries = entries;
            mSnapshotBytes = bytes;
            mTrailingEntries = trailingEntries;
            return this;
        }

        /** Sets the bounds of proposals. */
        public Builder proposalLimits(int largestBytes, long backlogBytes) {
            mLargestProposalBytes = largestBytes;
            mBacklogBytes = backlogBytes;
            return this;
        }

        /** Sets on how many voters an entry has to be synced at least, all of them if fewer. */
        public Builder durableCopies(int copies) {
            mDurableCopies = copies;
            return this;
        }

        Builder without(RaftRule rule) {
            mRules.remove(rule);
            return this;
        }

        /** Returns the settings. */
        public RaftSettings build() {
            return new RaftSettings(this);
        }
    }
}
