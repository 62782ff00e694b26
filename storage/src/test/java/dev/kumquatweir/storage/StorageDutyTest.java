package dev.kumquatweir.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StorageDutyTest {
    private static final StorageFailure FULL = new StorageFailure.DiskFull("file");
    private static final StorageFailure BROKEN = new StorageFailure.SyncFailed("file", "broken");

    private final Semaphore mPermits = new Semaphore(0);
    private final BlockingQueue<Integer> mGroups = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> mEvents = new LinkedBlockingQueue<>();
    private final BlockingQueue<StorageFailure> mFailures = new LinkedBlockingQueue<>();

    /** Waits for a permit for each group, then fails with the next failure, if there is one. */
    private final LogStore mStore =
            new LogStore() {
                @Override
                public Either<StorageFailure, StoredState> load() {
                    return Either.right(StoredState.empty("store"));
                }

                @Override
                public Either<StorageFailure, StorageCompletion> write(List<StorageWrite> writes) {
                    mGroups.add(writes.size());
                    mPermits.acquireUninterruptibly();
                    if (Thread.currentThread().isInterrupted()) {
                        mEvents.add("interrupted");
                    }
                    StorageFailure failure = mFailures.poll();
                    return failure != null
                            ? Either.left(failure)
                            : Either.right(new StorageCompletion(writes.getLast().sequence(), 0));
                }

                @Override
                public void close() {
                    mEvents.add("closed");
                }
            };

    private final StorageListener mListener =
            new StorageListener() {
                @Override
                public void completed(StorageCompletion completion) {
                    mEvents.add("completed " + completion.sequence());
                }

                @Override
                public void diskFull(StorageFailure.DiskFull failure) {
                    mEvents.add("full");
                }

                @Override
                public void spaceReturned() {
                    mEvents.add("space");
                }

                @Override
                public void failed(StorageFailure failure) {
                    mEvents.add("failed " + failure.code());
                }
            };

    private StorageDuty started(int capacity) {
        StorageDuty duty = new StorageDuty(mStore, capacity, mListener);
        duty.start();
        return duty;
    }

    private static boolean submit(StorageDuty duty, long sequence) {
        return duty.submit(Workload.append(sequence, List.of()));
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T value = queue.poll(60, TimeUnit.SECONDS);
        if (value == null) {
            throw new AssertionError("nothing happened");
        }
        return value;
    }

    /** Guards against one sync for each batch, and against a completion before the sync. */
    @Test
    void batchesThatWaitShareOneWrite() throws InterruptedException {
        try (StorageDuty duty = started(64)) {
            submit(duty, 1);
            assertThat(next(mGroups), is(1));
            for (long sequence = 2; sequence <= 11; sequence++) {
                submit(duty, sequence);
            }
            assertThat(mEvents.isEmpty(), is(true));
            mPermits.release(2);
            assertThat(next(mEvents), equalTo("completed 1"));
            assertThat(next(mEvents), equalTo("completed 11"));
            assertThat(next(mGroups), is(10));
        }
        assertThat(next(mEvents), equalTo("closed"));
    }

    /** Guards against memory without bound when the disk is slow. */
    @Test
    void batchesBeyondTheCapacityAreRefused() throws InterruptedException {
        try (StorageDuty duty = started(3)) {
            submit(duty, 1);
            next(mGroups);
            assertThat(submit(duty, 2) && submit(duty, 3), is(true));
            assertThat(submit(duty, 4), is(false));
            mPermits.release(2);
            assertThat(next(mEvents), equalTo("completed 1"));
            assertThat(next(mEvents), equalTo("completed 3"));
            assertThat(submit(duty, 4), is(true));
            mPermits.release();
            assertThat(next(mEvents), equalTo("completed 4"));
        }
    }

    /** Guards against batches that are lost, reordered or acknowledged while the disk is full. */
    @Test
    void batchesAreWrittenAgainUntilSpaceReturns() throws InterruptedException {
        mFailures.addAll(List.of(FULL, FULL));
        try (StorageDuty duty = started(8)) {
            submit(duty, 1);
            mPermits.release();
            assertThat(next(mEvents), equalTo("full"));
            submit(duty, 2);
            mPermits.release(2);
            assertThat(List.of(next(mEvents), next(mEvents)), contains("space", "completed 2"));
        }
    }

    /** Guards against a planned stop that interrupts a write, which would count as a failed one. */
    @Test
    void closeFinishesWhatWaitsUndisturbed() throws InterruptedException {
        StorageDuty duty = started(8);
        submit(duty, 1);
        next(mGroups);
        submit(duty, 2);
        Thread closing = Thread.ofVirtual().start(duty::close);
        while (closing.getState() != Thread.State.TIMED_WAITING) {
            Thread.onSpinWait();
        }
        assertThat(submit(duty, 3), is(false));
        mPermits.release(8);
        closing.join();
        assertThat(mEvents, contains("completed 1", "completed 2", "closed"));
    }

    /** Guards against a write or completion after a failed sync. */
    @Test
    void nothingIsWrittenAfterFailure() throws InterruptedException {
        mFailures.add(BROKEN);
        try (StorageDuty duty = started(8)) {
            submit(duty, 1);
            next(mGroups);
            submit(duty, 2);
            mPermits.release(10);
            assertThat(next(mEvents), equalTo("failed sync_failed"));
            assertThat(submit(duty, 3), is(false));
        }
        assertThat(next(mEvents), equalTo("closed"));
        assertThat(mGroups.isEmpty(), is(true));
    }
}
