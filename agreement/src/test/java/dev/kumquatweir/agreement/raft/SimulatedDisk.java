package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** A log store in memory; a crash keeps only a random prefix of the unsynced writes. */
final class SimulatedDisk {
    private final Deque<StorageWrite> mUnsynced = new ArrayDeque<>();
    private final List<LogEntry> mEntries = new ArrayList<>();
    private String mStoreId;
    private HardState mHardState = HardState.INITIAL;
    private Optional<SnapshotImage> mSnapshot = Optional.empty();

    SimulatedDisk(String storeId) {
        mStoreId = storeId;
    }

    String storeId() {
        return mStoreId;
    }

    void bootstrap(SnapshotImage firstSnapshot) {
        mSnapshot = Optional.of(firstSnapshot);
    }

    void wipe(String newStoreId) {
        mStoreId = newStoreId;
        mUnsynced.clear();
        mEntries.clear();
        mHardState = HardState.INITIAL;
        mSnapshot = Optional.empty();
    }

    StoredState load() {
        return new StoredState(mStoreId, mHardState, mSnapshot, mEntries);
    }

    void write(StorageWrite write) {
        mUnsynced.add(write);
    }

    /** Syncs all pending writes; empty if there were none. */
    Optional<StorageCompletion> sync() {
        if (mUnsynced.isEmpty()) {
            return Optional.empty();
        }
        long sequence = mUnsynced.getLast().sequence();
        mUnsynced.forEach(write -> apply(write, Integer.MAX_VALUE));
        mUnsynced.clear();
        return Optional.of(new StorageCompletion(sequence, lastIndex()));
    }

    /** Applies a random prefix of the unsynced writes and discards the rest. */
    void crash(RandomGenerator random) {
        int completeWrites = random.nextInt(mUnsynced.size() + 1);
        for (int applied = 0; applied < completeWrites; applied++) {
            apply(mUnsynced.removeFirst(), Integer.MAX_VALUE);
        }
        if (!mUnsynced.isEmpty()) {
            apply(mUnsynced.removeFirst(), random.nextInt(6));
        }
        mUnsynced.clear();
    }

    private long lastIndex() {
        return mEntries.isEmpty()
                ? mSnapshot.map(SnapshotImage::index).orElse(0L)
                : mEntries.getLast().index();
    }

    private void apply(StorageWrite write, int maxSteps) {
        int remainingSteps = maxSteps;
        if (remainingSteps-- <= 0) {
            return;
        }
        mHardState = write.hardState().orElse(mHardState);
        if (remainingSteps-- <= 0) {
            return;
        }
        mSnapshot = write.snapshot().or(() -> mSnapshot);
        if (remainingSteps-- <= 0) {
            return;
        }
        if (write.truncateFrom() != StorageWrite.NO_INDEX) {
            mEntries.removeIf(entry -> entry.index() >= write.truncateFrom());
        }
        for (LogEntry entry : write.entries()) {
            if (remainingSteps-- <= 0) {
                return;
            }
            if (entry.index() != lastIndex() + 1) {
                throw new AssertionError("gap in the stored log before " + entry.index());
            }
            mEntries.add(entry);
        }
        if (remainingSteps > 0) {
            mEntries.removeIf(entry -> entry.index() <= write.compactThrough());
        }
    }
}
