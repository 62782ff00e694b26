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
 * Collects the outputs of one step, merges its storage changes into one batch, holds messages until
 * the batches they depend on are synced, and knows how much of the log is durable. One thread.
 */
final class Outbox {
    /** Held messages beyond this are dropped, oldest first; peers repeat their requests. */
    private static final int LARGEST_HELD = 1_000;

    private final List<RaftOutput> mOutputs = new ArrayList<>();
    private final List<LogEntry> mEntries = new ArrayList<>();
    private final Deque<Held> mHeld = new ArrayDeque<>();
    private final Deque<Unsynced> mUnsynced = new ArrayDeque<>();
    private @Nullable HardState mHardState;
    private @Nullable SnapshotImage mSnapshot;
    private long mTruncateFrom = StorageWrite.NO_INDEX;
    private long mCompactThrough = StorageWrite.NO_INDEX;
    private long mSequence;
    private long mCompleted;
    private long mHardStateSequence;
    private long mDurableIndex;
    private long mUnsyncedBytes;
    private long mAppendedBytes;

    Outbox(long durableIndex) {
        mDurableIndex = durableIndex;
    }

    /** A message that waits for a batch. */
    private record Held(long sequence, RaftMessage message) {}

    /** A batch that is not synced, and how far the log reaches with it. */
    private record Unsynced(long sequence, long lastIndex, long bytes) {}

    void add(RaftOutput output) {
        mOutputs.add(output);
    }

    void send(RaftMessage message) {
        mOutputs.add(new RaftOutput.Send(message));
    }

    /** Sends a message once term and vote, as they are now, are synced. */
    void sendAfterHardState(RaftMessage message) {
        if (hardStateSequence() <= mCompleted) {
            send(message);
            return;
        }
        mHeld.add(new Held(hardStateSequence(), message));
        if (mHeld.size() > LARGEST_HELD) {
            mHeld.removeFirst();
        }
    }

    /** Returns the batch after which the present term and vote are synced. */
    long hardStateSequence() {
        return mHardState != null ? mSequence + 1 : mHardStateSequence;
    }

    long completedSequence() {
        return mCompleted;
    }

    long durableIndex() {
        return mDurableIndex;
    }

    /** Returns the payload bytes that wait for a sync. */
    long unsyncedBytes() {
        return mUnsyncedBytes + mAppendedBytes;
    }

    void storeHardState(HardState state) {
        mHardState = state;
    }

    void append(LogEntry entry) {
        mEntries.add(entry);
        mAppendedBytes += entry.payload().size();
    }

    /** Removes entries from an index on; what was durable there no longer counts. */
    void truncateFrom(long index) {
        if (!mEntries.isEmpty()) {
            throw new IllegalStateException("truncation after an append in the same step");
        }
        mTruncateFrom = index;
        limitDurable(index - 1);
    }

    /** Forgets the durability of entries after an index. */
    void limitDurable(long index) {
        mDurableIndex = Math.min(mDurableIndex, index);
        int count = mUnsynced.size();
        for (int done = 0; done < count; done++) {
            Unsynced batch = mUnsynced.removeFirst();
            long last = Math.min(batch.lastIndex(), index);
            mUnsynced.addLast(new Unsynced(batch.sequence(), last, batch.bytes()));
        }
    }

    void storeSnapshot(SnapshotImage snapshot, long compactThrough) {
        mSnapshot = snapshot;
        mCompactThrough = compactThrough;
    }

    /** Ends a step: makes one batch of the storage changes and returns all outputs. */
    List<RaftOutput> finish(long lastIndex) {
        if (hasStorageChange()) {
            mSequence++;
            if (mHardState != null) {
                mHardStateSequence = mSequence;
            }
            StorageWrite write =
                    new StorageWrite(
                            mSequence,
                            Optional.ofNullable(mHardState),
                            Optional.ofNullable(mSnapshot),
                            mTruncateFrom,
                            mEntries,
                            mCompactThrough);
            mOutputs.add(new RaftOutput.Write(write));
            mUnsynced.addLast(new Unsynced(mSequence, lastIndex, mAppendedBytes));
            mUnsyncedBytes += mAppendedBytes;
            clearBatch();
        }
        List<RaftOutput> outputs = List.copyOf(mOutputs);
        mOutputs.clear();
        return outputs;
    }

    /** Takes a completion and releases the messages that waited for it. */
    void onSynced(long sequence) {
        mCompleted = Math.max(mCompleted, sequence);
        while (!mUnsynced.isEmpty() && mUnsynced.getFirst().sequence() <= mCompleted) {
            Unsynced batch = mUnsynced.removeFirst();
            mDurableIndex = Math.max(mDurableIndex, batch.lastIndex());
            mUnsyncedBytes -= batch.bytes();
        }
        while (!mHeld.isEmpty() && mHeld.getFirst().sequence() <= mCompleted) {
            send(mHeld.removeFirst().message());
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
        mAppendedBytes = 0;
    }
}
