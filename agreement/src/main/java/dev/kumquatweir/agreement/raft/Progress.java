package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.SnapshotImage;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The leader's replication state for one member: match and next index, in-flight batches, snapshot
 * transfer and last contact. Called only by the thread that steps the {@link RaftNode}.
 */
final class Progress {
    /** Age reported for a member that has never acknowledged a message. */
    static final long NEVER_ACKNOWLEDGED_AGE_NANOS = Long.MAX_VALUE / 4;

    private final Deque<InflightBatch> mInflight = new ArrayDeque<>();
    private Mode mMode = Mode.REPLICATE;
    private long mMatchIndex;
    private long mNextIndex;
    private long mInflightBytes;
    private boolean mProbeSent;
    private boolean mHasAcknowledged;
    private long mAcknowledgedSentNanos;
    private long mContactNanos;
    private long mNextHeartbeatNanos;
    private @Nullable SnapshotImage mSnapshot;
    private long mSnapshotOffset;
    private long mChunkSentNanos;

    Progress(long nextIndex, long nowNanos) {
        mNextIndex = nextIndex;
        mContactNanos = nowNanos;
        mNextHeartbeatNanos = nowNanos;
    }

    /** A batch without an acknowledgement. */
    private record InflightBatch(long lastIndex, long bytes) {}

    /** Replication mode, as in etcd. */
    enum Mode {
        /** Sends empty appends to find the last index at which the logs match. */
        PROBE,
        /** Pipelines batches without waiting for responses. */
        REPLICATE,
        /** Sends a snapshot in chunks. */
        SNAPSHOT
    }

    Mode mode() {
        return mMode;
    }

    long matchIndex() {
        return mMatchIndex;
    }

    long nextIndex() {
        return mNextIndex;
    }

    /** Returns the time since the send of the newest acknowledged message. */
    long acknowledgedAgeNanos(long nowNanos) {
        return mHasAcknowledged ? nowNanos - mAcknowledgedSentNanos : NEVER_ACKNOWLEDGED_AGE_NANOS;
    }

    /** Like {@link #acknowledgedAgeNanos}, counting the start of the leadership as a contact. */
    long contactAgeNanos(long nowNanos) {
        return nowNanos - mContactNanos;
    }

    void onResponse(long sentNanos) {
        if (!mHasAcknowledged || sentNanos - mAcknowledgedSentNanos > 0) {
            mHasAcknowledged = true;
            mAcknowledgedSentNanos = sentNanos;
        }
        if (sentNanos - mContactNanos > 0) {
            mContactNanos = sentNanos;
        }
    }

    boolean isHeartbeatDue(long nowNanos) {
        return nowNanos - mNextHeartbeatNanos >= 0;
    }

    void scheduleHeartbeat(long atNanos) {
        mNextHeartbeatNanos = atNanos;
        mProbeSent = false;
    }

    boolean canSendBatch(int maxBatches, long maxBytes) {
        return mMode == Mode.REPLICATE
                && mInflight.size() < maxBatches
                && mInflightBytes < maxBytes;
    }

    boolean canProbe() {
        return mMode == Mode.PROBE && !mProbeSent;
    }

    void onProbeSent() {
        mProbeSent = true;
    }

    void onBatchSent(List<LogEntry> entries) {
        mNextIndex = entries.getLast().index() + 1;
        long bytes = entries.stream().mapToLong(RaftLog::bytes).sum();
        mInflight.addLast(new InflightBatch(entries.getLast().index(), bytes));
        mInflightBytes += bytes;
    }

    /** Handles an accepted append; returns whether the match index advanced. */
    boolean onAccepted(long durableIndex, long followerNextIndex) {
        boolean advanced = durableIndex > mMatchIndex;
        mMatchIndex = Math.max(mMatchIndex, durableIndex);
        while (!mInflight.isEmpty() && mInflight.getFirst().lastIndex() <= mMatchIndex) {
            mInflightBytes -= mInflight.removeFirst().bytes();
        }
        boolean installed = mSnapshot != null && followerNextIndex > mSnapshot.index();
        if (mMode == Mode.PROBE || (mMode == Mode.SNAPSHOT && installed)) {
            mMode = Mode.REPLICATE;
            mSnapshot = null;
            forgetInflight();
            mNextIndex = Math.max(mMatchIndex + 1, followerNextIndex);
        }
        mNextIndex = Math.max(mNextIndex, mMatchIndex + 1);
        return advanced;
    }

    /**
     * Handles a rejected append; stale rejections are ignored. A member with a volatile store may
     * have lost acknowledged entries, so its rejection may lower the match index.
     */
    void onRejected(long rejectedIndex, long nextIndexHint, boolean volatileStore) {
        if (mMode == Mode.SNAPSHOT) {
            return;
        }
        if (volatileStore && nextIndexHint <= mMatchIndex) {
            mMatchIndex = nextIndexHint - 1;
        }
        boolean stale = mMode == Mode.PROBE && rejectedIndex != mNextIndex - 1;
        if (stale || rejectedIndex <= mMatchIndex) {
            return;
        }
        mMode = Mode.PROBE;
        mProbeSent = false;
        forgetInflight();
        mNextIndex = Math.max(mMatchIndex + 1, Math.min(nextIndexHint, rejectedIndex));
    }

    void startSnapshot(SnapshotImage snapshot) {
        mMode = Mode.SNAPSHOT;
        mSnapshot = snapshot;
        mSnapshotOffset = 0;
        forgetInflight();
    }

    /** Returns whether the entries after the snapshot in transfer are gone from the log. */
    boolean isSnapshotOutdated(long baseIndex) {
        return mSnapshot != null && mSnapshot.index() < baseIndex;
    }

    /** Returns the index of the first entry that the member may still need. */
    long neededIndex() {
        if (mSnapshot != null) {
            return mSnapshot.index() + 1;
        }
        return mMode == Mode.PROBE || mMatchIndex == 0 ? mNextIndex : mMatchIndex + 1;
    }

    @Nullable SnapshotImage snapshot() {
        return mSnapshot;
    }

    long snapshotOffset() {
        return mSnapshotOffset;
    }

    void onChunkSent(long sentNanos) {
        mChunkSentNanos = sentNanos;
    }

    long chunkAgeNanos(long nowNanos) {
        return nowNanos - mChunkSentNanos;
    }

    /**
     * Handles a chunk acknowledgement; returns whether to send the next chunk. An acknowledgement
     * that took longer than the chunk was repeated counts, too: on a link slower than the time
     * between two repeats no other comes. Only the newest one may go back, which a member that lost
     * the earlier chunks asks for.
     */
    boolean onChunkAcknowledged(long index, long nextOffset, long sentNanos) {
        SnapshotImage image = mSnapshot;
        if (image == null || image.index() != index) {
            return false;
        }
        boolean forward = nextOffset > mSnapshotOffset && nextOffset <= image.data().size();
        boolean back =
                nextOffset >= 0 && nextOffset < mSnapshotOffset && sentNanos == mChunkSentNanos;
        if (forward || back) {
            mSnapshotOffset = nextOffset;
        }
        return forward || back;
    }

    private void forgetInflight() {
        mInflight.clear();
        mInflightBytes = 0;
    }
}
