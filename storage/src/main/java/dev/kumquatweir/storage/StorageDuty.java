package dev.kumquatweir.storage;

import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.core.duty.EventLoop;
import dev.kumquatweir.core.event.EventLog;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * The duty {@code storage}: one thread that writes all waiting batches with one sync (group
 * commit). {@link #submit} may be called from any thread, but batches must come in ascending
 * sequence.
 */
public final class StorageDuty implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(StorageDuty.class);
    // How often waiting batches are tried again while the disk is full.
    private static final long RETRY_MILLIS = 250;

    private static final long CLOSE_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long OFFER_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final LogStore mStore;
    private final StorageListener mListener;
    private final int mCapacity;
    private final EventLoop mDuty;
    private final AtomicInteger mOutstanding = new AtomicInteger();
    private final List<StorageWrite> mPending = new ArrayList<>();
    private final CountDownLatch mFinished = new CountDownLatch(1);
    private boolean mDiskFull;
    private volatile boolean mStarted;
    private volatile boolean mClosing;
    // Nothing is written any more: the store has failed or the duty is at rest.
    private volatile boolean mEnded;

    /**
     * Makes a duty that is not yet running.
     *
     * @param store a store that has been loaded; closed with this duty
     * @param capacity largest number of batches without a completion
     * @param listener learns what became of the batches
     */
    public StorageDuty(LogStore store, int capacity, StorageListener listener) {
        mStore = store;
        mCapacity = capacity;
        mListener = listener;
        mDuty =
                new EventLoop(
                        "storage",
                        capacity,
                        RETRY_MILLIS,
                        this::retry,
                        (thread, fault) -> faulted(fault));
    }

    /** Starts the thread. */
    public void start() {
        mStarted = true;
        mDuty.start();
    }

    /**
     * Writes what waits, ends the thread and closes the store. Waits up to 10 s; batches that wait
     * for space on the disk are lost.
     */
    @Override
    public void close() {
        mClosing = true;
        if (mStarted && !mDuty.inEventLoop()) {
            awaitFinished();
        }
        mDuty.stop();
        mStore.close();
    }

    /**
     * Hands over a batch.
     *
     * @return false if too many batches wait or the store has failed; the batch is not written
     *     then, and since sequences have no gaps, it has to be submitted again before any later one
     */
    public boolean submit(StorageWrite write) {
        if (mEnded || mClosing) {
            return false;
        }
        if (mOutstanding.incrementAndGet() > mCapacity || !mDuty.offer(() -> accept(write))) {
            mOutstanding.decrementAndGet();
            return false;
        }
        return true;
    }

    /**
     * Lets the thread come to rest before it is stopped: the stop interrupts it, and an interrupt
     * during a write closes the file, which would count as a failed write.
     */
    private void awaitFinished() {
        long limitNanos = System.nanoTime() + CLOSE_NANOS;
        while (!mDuty.offer(this::finish) && System.nanoTime() - limitNanos < 0) {
            LockSupport.parkNanos(OFFER_PAUSE_NANOS);
        }
        try {
            if (!mFinished.await(limitNanos - System.nanoTime(), TimeUnit.NANOSECONDS)) {
                LOG.warn("storage_close_timed_out", "waiting", mDuty.queuedTasks());
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void finish() {
        if (!mDiskFull) {
            commit();
        }
        mEnded = true;
        mFinished.countDown();
    }

    private void accept(StorageWrite write) {
        mPending.add(write);
        // While other batches wait in the ring, their tasks follow and the last one commits all.
        if (mDuty.queuedTasks() == 0 && !mDiskFull) {
            commit();
        }
    }

    private void retry() {
        if (mDiskFull) {
            commit();
        }
    }

    private void commit() {
        if (mEnded || mPending.isEmpty()) {
            return;
        }
        List<StorageWrite> group = List.copyOf(mPending);
        Either<StorageFailure, StorageCompletion> result = mStore.write(group);
        if (result.isRight()) {
            completed(group.size(), result.get());
            return;
        }
        switch (result.getLeft()) {
            case StorageFailure.DiskFull full -> refused(full);
            case StorageFailure.SyncFailed fatal -> failed(fatal);
            case StorageFailure.Corrupted fatal -> failed(fatal);
            case StorageFailure.Unusable fatal -> failed(fatal);
        }
    }

    private void completed(int count, StorageCompletion completion) {
        mPending.clear();
        mOutstanding.addAndGet(-count);
        if (mDiskFull) {
            mDiskFull = false;
            LOG.info("disk_space_returned", "sequence", completion.sequence());
            mListener.spaceReturned();
        }
        mListener.completed(completion);
    }

    private void refused(StorageFailure.DiskFull failure) {
        if (!mDiskFull) {
            mDiskFull = true;
            LOG.failure("disk_full", failure, "waiting", mPending.size());
            mListener.diskFull(failure);
        }
    }

    private void failed(StorageFailure failure) {
        if (!mEnded) {
            mEnded = true;
            LOG.failure("storage_failed", failure);
            mListener.failed(failure);
        }
    }

    /** A fault of the program leaves the store in an unknown state, like a failed sync. */
    private void faulted(Throwable fault) {
        LOG.error("storage_fault", fault);
        failed(new StorageFailure.SyncFailed("storage thread", String.valueOf(fault)));
    }
}
