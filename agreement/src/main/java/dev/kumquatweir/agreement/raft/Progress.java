package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.SnapshotImage;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** What a leader knows about one member. One thread. */
final class Progress {
    /** Age of an acknowledgement that never came. */
    static final long NEVER = Long.MAX_VALUE / 4;

    private final Deque<Long> mInFlight = new ArrayDeque<>();
    private Mode mMode = Mode.REPLICATE;
    private long mMatchIndex;
    private long mNextIndex;
    private boolean mProbeSent;
    private boolean mAcknowledged;
    private long mAcknowledgedStamp;
    private long mContactStamp;
    private long mHeartbeatNanos;
    private @Nullable SnapshotImage mSnapshot;
    private long mSnapshotOffset;
    private long mChunkStamp;

    Progress(long nextIndex, long nowNanos) {
        mNextIndex = nextIndex;
        mContactStamp = nowNanos;
        mHeartbeatNanos = nowNanos;
    }

    /** How entries are sent. */
    enum Mode {
        /** Empty appends look for the place where the logs agree. */
        PROBE,
        /** Batches are sent ahead of their answers. */
        REPLICATE,
        /** A snapshot is sent chunk by chunk. */
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

    /** Returns how long ago the newest acknowledged message was sent. */
    long acknowledgedAge(long nowNanos) {
        return mAcknowledged ? nowNanos - mAcknowledgedStamp : NEVER;
    }

    /** Like {@link #acknowledgedAge}, counting the start of the leadership as a contact. */
    long contactAge(long nowNanos) {
        return nowNanos - mContactStamp;
    }

    void onStamp(long stamp) {
        if (!mAcknowledged || stamp - mAcknowledgedStamp > 0) {
            mAcknowledged = true;
            mAcknowledgedStamp = stamp;
        }
        if (stamp - mContactStamp > 0) {
            mContactStamp = stamp;
        }
    }

    boolean heartbeatDue(long nowNanos) {
        return nowNanos - mHeartbeatNanos >= 0;
    }

    void nextHeartbeat(long atNanos) {
        mHeartbeatNanos = atNanos;
        mProbeSent = false;
    }

    boolean canSendBatch(int window) {
        return mMode == Mode.REPLICATE && mInFlight.size() < window;
    }

    boolean canProbe() {
        return mMode == Mode.PROBE && !mProbeSent;
    }

    void onProbeSent() {
        mProbeSent = true;
    }

    void onBatchSent(List<LogEntry> entries) {
        mNextIndex = entries.getLast().index() + 1;
        mInFlight.addLast(entries.getLast().index());
    }

    /** Takes an acceptance; returns whether the durable index advanced. */
    boolean onAccepted(long durableIndex, long followerNextIndex) {
        boolean advanced = durableIndex > mMatchIndex;
        mMatchIndex = Math.max(mMatchIndex, durableIndex);
        while (!mInFlight.isEmpty() && mInFlight.getFirst() <= mMatchIndex) {
            mInFlight.removeFirst();
        }
        boolean installed = mSnapshot != null && followerNextIndex > mSnapshot.index();
        if (mMode == Mode.PROBE || (mMode == Mode.SNAPSHOT && installed)) {
            mMode = Mode.REPLICATE;
            mSnapshot = null;
            mInFlight.clear();
            mNextIndex = Math.max(mMatchIndex + 1, followerNextIndex);
        }
        mNextIndex = Math.max(mNextIndex, mMatchIndex + 1);
        return advanced;
    }

    /** Takes a refusal; stale ones are ignored. */
    void onRefused(long refusedIndex, long hint, boolean mayForget) {
        if (mMode == Mode.SNAPSHOT) {
            return;
        }
        if (mayForget && hint <= mMatchIndex) {
            mMatchIndex = hint - 1;
        }
        boolean stale = mMode == Mode.PROBE && refusedIndex != mNextIndex - 1;
        if (stale || refusedIndex <= mMatchIndex) {
            return;
        }
        mMode = Mode.PROBE;
        mProbeSent = false;
        mInFlight.clear();
        mNextIndex = Math.max(mMatchIndex + 1, Math.min(hint, refusedIndex));
    }

    void startSnapshot(SnapshotImage snapshot) {
        mMode = Mode.SNAPSHOT;
        mSnapshot = snapshot;
        mSnapshotOffset = 0;
        mInFlight.clear();
    }

    @Nullable SnapshotImage snapshot() {
        return mSnapshot;
    }

    long snapshotOffset() {
        return mSnapshotOffset;
    }

    void onChunkSent(long stamp) {
        mChunkStamp = stamp;
    }

    long chunkAge(long nowNanos) {
        return nowNanos - mChunkStamp;
    }

    /** Takes the answer to the last chunk sent; returns whether the next one is due. */
    boolean onChunkAnswered(long index, long nextOffset, long stamp) {
        SnapshotImage image = mSnapshot;
        if (image == null || image.index() != index || stamp != mChunkStamp) {
            return false;
        }
        if (nextOffset < 0 || nextOffset > image.data().size()) {
            return false;
        }
        mSnapshotOffset = nextOffset;
        return true;
    }
}
