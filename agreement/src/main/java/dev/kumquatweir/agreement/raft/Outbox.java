package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StorageWrite;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Collects the outputs of one step and merges its storage changes into one batch. Defers messages
 * until the batches they depend on are synced, and tracks the durable prefix of the log. Called
 * only by the thread that steps the {@link RaftNode}.
 */
final class Outbox {
    /** Excess deferred messages are dropped, oldest first; peers repeat their requests. */
    private static final int MAX_DEFERRED_MESSAGES = 1_000;

    private final List<RaftOutput> mOutputs = new ArrayList<>();
    private final List<LogEntry> mEntries = new ArrayList<>();
    private final Deque<DeferredMessage> mDeferred = new ArrayDeque<>();
    private final Deque<UnsyncedBatch> mUnsynced = new ArrayDeque<>();
    private @Nullable HardState mHardState;
    private @Nullable SnapshotImage mSnapshot;
    private long mTruncateFrom = StorageWrite.NO_INDEX;
    private long mCompactThrough = StorageWrite.NO_INDEX;
    private long mLastSequence;
    private long mSyncedSequence;
    private long mHardStateSequence;
    private long mSnapshotSequence;
    private long mDurableIndex;
    private long mUnsyncedBytes;
    private long mBatchBytes;

    Outbox(long durableIndex) {
        mDurableIndex = durableIndex;
    }

    /** A message to send once a batch is synced. */
    private record DeferredMessage(long sequence, RaftMessage message) {}

    /** A batch that is not yet synced, with the last log index after it. */
    private record UnsyncedBatch(long sequence, long lastIndex, long bytes) {}

    void add(RaftOutput output) {
        mOutputs.add(output);
    }

    void send(RaftMessage message) {
        mOutputs.add(new RaftOutput.Send(message));
    }

    /** Sends a message once the current term and vote are synced. */
    void sendAfterHardState(RaftMessage message) {
        if (hardStateSequence() <= mSyncedSequence) {
            send(message);
            return;
        }
        mDeferred.add(new DeferredMessage(hardStateSequence(), message));
        if (mDeferred.size() > MAX_DEFERRED_MESSAGES) {
            mDeferred.removeFirst();
        }
    }

    /** Returns the sequence number of the batch that contains the current term and vote. */
    long hardStateSequence() {
        return mHardState != null ? mLastSequence + 1 : mHardStateSequence;
    }

    long syncedSequence() {
        return mSyncedSequence;
    }

    /** Returns whether the last snapshot is not synced yet. */
    boolean hasUnsyncedSnapshot() {
        return mSnapshot != null || mSnapshotSequence > mSyncedSequence;
    }

    long durableIndex() {
        return mDurableIndex;
    }

    /** Returns the payload bytes of entries that are not yet synced. */
    long unsyncedBytes() {
        return mUnsyncedBytes + mBatchBytes;
    }

    void storeHardState(HardState state) {
        mHardState = state;
    }

    void append(LogEntry entry) {
        mEntries.add(entry);
        mBatchBytes += entry.payload().size();
    }

    /** Truncates the stored log from an index on and lowers the durable index accordingly. */
    void truncateFrom(long index) {
        if (!mEntries.isEmpty()) {
            throw new IllegalStateException("truncation after an append in the same step");
        }
        mTruncateFrom = index;
        limitDurableIndex(index - 1);
    }

    /** Limits the durable index, also as raised by batches that are not yet synced. */
    void limitDurableIndex(long index) {
        mDurableIndex = Math.min(mDurableIndex, index);
        int count = mUnsynced.size();
        for (int visited = 0; visited < count; visited++) {
            UnsyncedBatch batch = mUnsynced.removeFirst();
            long lastDurable = Math.min(batch.lastIndex(), index);
            mUnsynced.addLast(new UnsyncedBatch(batch.sequence(), lastDurable, batch.bytes()));
        }
    }

    void storeSnapshot(SnapshotImage snapshot, long compactThrough) {
        mSnapshot = snapshot;
        mCompactThrough = compactThrough;
    }

    /** Ends a step: combines the storage changes into one batch and returns all outputs. */
    List<RaftOutput> finishStep(long lastIndex) {
        if (hasStorageChange()) {
            mLastSequence++;
            if (mHardState != null) {
                mHardStateSequence = mLastSequence;
            }
            if (mSnapshot != null) {
                mSnapshotSequence = mLastSequence;
            }
            StorageWrite write =
                    new StorageWrite(
                            mLastSequence,
                            Optional.ofNullable(mHardState),
                            Optional.ofNullable(mSnapshot),
                            mTruncateFrom,
                            mEntries,
                            mCompactThrough);
            mOutputs.add(new RaftOutput.Write(write));
            mUnsynced.addLast(new UnsyncedBatch(mLastSequence, lastIndex, mBatchBytes));
            mUnsyncedBytes += mBatchBytes;
            clearBatch();
        }
        List<RaftOutput> outputs = List.copyOf(mOutputs);
        mOutputs.clear();
        return outputs;
    }

    /** Records synced batches and sends the messages deferred until then. */
    void onStorageSynced(long sequence) {
        mSyncedSequence = Math.max(mSyncedSequence, sequence);
        while (!mUnsynced.isEmpty() && mUnsynced.getFirst().sequence() <= mSyncedSequence) {
            UnsyncedBatch batch = mUnsynced.removeFirst();
            mDurableIndex = Math.max(mDurableIndex, batch.lastIndex());
            mUnsyncedBytes -= batch.bytes();
        }
        while (!mDeferred.isEmpty() && mDeferred.getFirst().sequence() <= mSyncedSequence) {
            send(mDeferred.removeFirst().message());
        }
    }

    private boolean hasStorageChange() {
        return mHardState != null
                || mSnapshot != null
                || mTruncateFrom != StorageWrite.NO_INDEX
                || !mEntries.isEmpty();
    }

    private void clearBatch() {
        mHardState = null;
        mSnapshot = null;
        mTruncateFrom = StorageWrite.NO_INDEX;
        mCompactThrough = StorageWrite.NO_INDEX;
        mEntries.clear();
        mBatchBytes = 0;
    }
}
