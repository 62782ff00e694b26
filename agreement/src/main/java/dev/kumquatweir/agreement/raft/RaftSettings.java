package dev.kumquatweir.agreement.raft;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Settings of a replica. Immutable; created by {@link #builder}. */
public final class RaftSettings {
    private static final long MAX_SNAPSHOT_INTERVAL_BYTES = 16L * 1024 * 1024;

    private final Builder mValues;

    private RaftSettings(Builder values) {
        mValues = new Builder(values);
    }

    /**
     * Returns a builder with the default values.
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
        return mValues.mHeartbeatIntervalNanos;
    }

    /** Returns the time between heartbeats to learners, which take no part in elections. */
    public long learnerHeartbeatIntervalNanos() {
        return mValues.mLearnerHeartbeatIntervalNanos;
    }

    /**
     * Returns the minimum election timeout, also the time after leader contact during which voters
     * deny votes.
     */
    public long minElectionTimeoutNanos() {
        return mValues.mMinElectionTimeoutNanos;
    }

    /** Returns the maximum election timeout. */
    public long maxElectionTimeoutNanos() {
        return mValues.mMaxElectionTimeoutNanos;
    }

    /**
     * Returns the duration of the leader lease, from the send of a message that a quorum has
     * acknowledged.
     */
    public long leaderLeaseNanos() {
        // Leaves a tenth as margin for voters whose clocks run faster than the leader's.
        return mValues.mMinElectionTimeoutNanos / 10 * 9;
    }

    /** Returns the maximum number of entries in one append message. */
    public int maxBatchEntries() {
        return mValues.mMaxBatchEntries;
    }

    /** Returns the maximum payload bytes of an append message; a single entry may exceed it. */
    public int maxBatchBytes() {
        return mValues.mMaxBatchBytes;
    }

    /** Returns the maximum number of in-flight append messages to one member. */
    public int maxInflightBatches() {
        return mValues.mMaxInflightBatches;
    }

    /**
     * Returns the payload bytes in flight to one member beyond which no further batch is sent. A
     * batch holds at least one entry, so their number alone doesn't bound what waits for a slow
     * member.
     */
    public int maxInflightBytes() {
        return mValues.mMaxInflightBytes;
    }

    /** Returns the size of a snapshot chunk in bytes. */
    public int snapshotChunkBytes() {
        return mValues.mSnapshotChunkBytes;
    }

    /** Returns the number of applied entries between snapshots. */
    public int snapshotIntervalEntries() {
        return mValues.mSnapshotIntervalEntries;
    }

    /**
     * Returns the bytes of applied entries between snapshots. A larger snapshot is taken less
     * often, after as many bytes as it has itself, {@link #maxSnapshotIntervalBytes} at most.
     */
    public long snapshotIntervalBytes() {
        return mValues.mSnapshotIntervalBytes;
    }

    /** Returns the bytes of applied entries after which a snapshot of any size is taken. */
    public long maxSnapshotIntervalBytes() {
        return Math.max(MAX_SNAPSHOT_INTERVAL_BYTES, mValues.mSnapshotIntervalBytes);
    }

    /** Returns the number of entries kept before a snapshot, for members that lag slightly. */
    public int trailingEntries() {
        return mValues.mTrailingEntries;
    }

    /** Returns the bytes of entries kept before a snapshot, for members that lag slightly. */
    public long trailingBytes() {
        return mValues.mTrailingBytes;
    }

    /**
     * Returns the bytes of entries that a leader keeps before a snapshot for members in contact.
     */
    public long retainedBytes() {
        return mValues.mRetainedBytes;
    }

    /**
     * Returns the bytes of the whole log beyond which a leader refuses proposals. Only a log that
     * can't be cut, as its snapshots take too long or fail, gets there.
     */
    public long maxLogBytes() {
        return mValues.mMaxLogBytes;
    }

    /** Returns the maximum payload of a proposal in bytes. */
    public int maxProposalBytes() {
        return mValues.mMaxProposalBytes;
    }

    /** Returns the maximum uncommitted (leader) or unsynced (follower) payload bytes. */
    public long maxBacklogBytes() {
        return mValues.mMaxBacklogBytes;
    }

    /**
     * Returns the number of voters that must have synced an entry before it is committed, if that
     * is more than a quorum. A small group must survive the loss of more disks than its quorum
     * tolerates.
     */
    public int durableCopies() {
        return mValues.mDurableCopies;
    }

    boolean isEnabled(RaftRule rule) {
        return mValues.mRules.contains(rule);
    }

    /** Builder of settings. Used by one thread. */
    public static final class Builder {
        private final String mClusterId;
        private final Set<RaftRule> mRules = EnumSet.allOf(RaftRule.class);
        private long mHeartbeatIntervalNanos = TimeUnit.MILLISECONDS.toNanos(100);
        private long mLearnerHeartbeatIntervalNanos = TimeUnit.MILLISECONDS.toNanos(500);
        private long mMinElectionTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(600);
        private long mMaxElectionTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(1200);
        private int mMaxBatchEntries = 256;
        private int mMaxBatchBytes = 512 * 1024;
        private int mMaxInflightBatches = 16;
        private int mMaxInflightBytes = 2 * 1024 * 1024;
        private int mSnapshotChunkBytes = 256 * 1024;
        private int mSnapshotIntervalEntries = 10_000;
        private long mSnapshotIntervalBytes = 8L * 1024 * 1024;
        private int mTrailingEntries = 1_000;
        private long mTrailingBytes = 4L * 1024 * 1024;
        private long mRetainedBytes = 16L * 1024 * 1024;
        private long mMaxLogBytes = 48L * 1024 * 1024;
        private int mMaxProposalBytes = 4 * 1024 * 1024;
        private long mMaxBacklogBytes = 8L * 1024 * 1024;
        private int mDurableCopies = 1;

        private Builder(String clusterId) {
            mClusterId = clusterId;
        }

        private Builder(Builder other) {
            mClusterId = other.mClusterId;
            mRules.retainAll(other.mRules);
            mHeartbeatIntervalNanos = other.mHeartbeatIntervalNanos;
            mLearnerHeartbeatIntervalNanos = other.mLearnerHeartbeatIntervalNanos;
            mMinElectionTimeoutNanos = other.mMinElectionTimeoutNanos;
            mMaxElectionTimeoutNanos = other.mMaxElectionTimeoutNanos;
            mMaxBatchEntries = other.mMaxBatchEntries;
            mMaxBatchBytes = other.mMaxBatchBytes;
            mMaxInflightBatches = other.mMaxInflightBatches;
            mMaxInflightBytes = other.mMaxInflightBytes;
            mSnapshotChunkBytes = other.mSnapshotChunkBytes;
            mSnapshotIntervalEntries = other.mSnapshotIntervalEntries;
            mSnapshotIntervalBytes = other.mSnapshotIntervalBytes;
            mTrailingEntries = other.mTrailingEntries;
            mTrailingBytes = other.mTrailingBytes;
            mRetainedBytes = other.mRetainedBytes;
            mMaxLogBytes = other.mMaxLogBytes;
            mMaxProposalBytes = other.mMaxProposalBytes;
            mMaxBacklogBytes = other.mMaxBacklogBytes;
            mDurableCopies = other.mDurableCopies;
        }

        /** Sets the times between heartbeats to voters and to learners. */
        public Builder heartbeatIntervalMillis(long voterMillis, long learnerMillis) {
            mHeartbeatIntervalNanos = TimeUnit.MILLISECONDS.toNanos(voterMillis);
            mLearnerHeartbeatIntervalNanos = TimeUnit.MILLISECONDS.toNanos(learnerMillis);
            return this;
        }

        /** Sets the range of election timeouts. */
        public Builder electionTimeoutMillis(long minMillis, long maxMillis) {
            mMinElectionTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(minMillis);
            mMaxElectionTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(maxMillis);
            return this;
        }

        /** Sets the limits of append messages. */
        public Builder batchLimits(int maxEntries, int maxBytes, int maxInflight) {
            mMaxBatchEntries = maxEntries;
            mMaxBatchBytes = maxBytes;
            mMaxInflightBatches = maxInflight;
            return this;
        }

        /** Sets the payload bytes in flight to one member. */
        public Builder maxInflightBytes(int bytes) {
            mMaxInflightBytes = bytes;
            return this;
        }

        /** Sets the size of a snapshot chunk in bytes. */
        public Builder snapshotChunkBytes(int bytes) {
            mSnapshotChunkBytes = bytes;
            return this;
        }

        /** Sets the snapshot intervals and the number of entries kept before a snapshot. */
        public Builder snapshotPolicy(
                int intervalEntries, long intervalBytes, int trailingEntries) {
            mSnapshotIntervalEntries = intervalEntries;
            mSnapshotIntervalBytes = intervalBytes;
            mTrailingEntries = trailingEntries;
            return this;
        }

        /**
         * Sets the bytes of the log that are kept.
         *
         * @param trailingBytes before a snapshot, by every member
         * @param retainedBytes before a snapshot, by a leader whose members need them
         * @param maxLogBytes size of the whole log beyond which a leader refuses proposals
         */
        public Builder logLimits(long trailingBytes, long retainedBytes, long maxLogBytes) {
            mTrailingBytes = trailingBytes;
            mRetainedBytes = retainedBytes;
            mMaxLogBytes = maxLogBytes;
            return this;
        }

        /** Sets the limits of proposals. */
        public Builder proposalLimits(int maxBytes, long maxBacklogBytes) {
            mMaxProposalBytes = maxBytes;
            mMaxBacklogBytes = maxBacklogBytes;
            return this;
        }

        /** Sets the number of voters that must sync an entry; all voters if there are fewer. */
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
