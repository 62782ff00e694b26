package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A disk in memory, which syncs each write at once. It outlives the process of its replica. */
final class MemoryLogStore implements LogStore {
    private final String mStoreId;
    private final List<LogEntry> mEntries = new ArrayList<>();
    private HardState mHardState = HardState.INITIAL;
    private Optional<SnapshotImage> mSnapshot = Optional.empty();

    MemoryLogStore(String storeId) {
        mStoreId = storeId;
    }

    @Override
    public Either<StorageFailure, StoredState> load() {
        return Either.right(new StoredState(mStoreId, mHardState, mSnapshot, mEntries));
    }

    @Override
    public Either<StorageFailure, StorageCompletion> write(List<StorageWrite> writes) {
        writes.forEach(this::store);
        long lastIndex =
                mEntries.isEmpty()
                        ? mSnapshot.map(SnapshotImage::index).orElse(0L)
                        : mEntries.getLast().index();
        return Either.right(new StorageCompletion(writes.getLast().sequence(), lastIndex));
    }

    @Override
    public void close() {}

    private void store(StorageWrite write) {
        mHardState = write.hardState().orElse(mHardState);
        mSnapshot = write.snapshot().or(() -> mSnapshot);
        if (write.truncateFrom() != StorageWrite.NO_INDEX) {
            mEntries.removeIf(entry -> entry.index() >= write.truncateFrom());
        }
        mEntries.addAll(write.entries());
        mEntries.removeIf(entry -> entry.index() <= write.compactThrough());
    }
}
