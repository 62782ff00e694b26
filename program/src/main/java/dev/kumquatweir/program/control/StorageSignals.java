package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.storage.StorageListener;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * What the storage thread reports to the event loop of a replica. Kept as state that the event loop
 * reads at each tick, since a message is lost if the queue of the event loop is full. Thread-safe.
 */
final class StorageSignals implements StorageListener {
    private final Consumer<StorageCompletion> mOnCompleted;
    private final Runnable mOnFatal;
    private final AtomicReference<Optional<StorageCompletion>> mLatestCompletion =
            new AtomicReference<>(Optional.empty());
    private volatile boolean mDiskFull;

    /**
     * @param onCompleted called with each completion, which need not arrive
     * @param onFatal ends the process when the store can't continue safely
     */
    StorageSignals(Consumer<StorageCompletion> onCompleted, Runnable onFatal) {
        mOnCompleted = onCompleted;
        mOnFatal = onFatal;
    }

    /** Returns the latest completion, and empty until there is another one. */
    Optional<StorageCompletion> takeCompletion() {
        return mLatestCompletion.getAndSet(Optional.empty());
    }

    /** Returns whether the disk has no room. */
    boolean diskFull() {
        return mDiskFull;
    }

    @Override
    public void completed(StorageCompletion completion) {
        mLatestCompletion.set(Optional.of(completion));
        mOnCompleted.accept(completion);
    }

    @Override
    public void diskFull(StorageFailure.DiskFull failure) {
        mDiskFull = true;
    }

    @Override
    public void spaceReturned() {
        mDiskFull = false;
    }

    @Override
    public void failed(StorageFailure failure) {
        mOnFatal.run();
    }
}
