package dev.kumquatweir.program.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.MemberRole;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import dev.kumquatweir.agreement.raft.RaftSettings;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.program.permit.UpstreamObservations;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A member of the control group whose disk is full for a while. */
final class FullDiskSignalTest {
    private static final MemberId SELF = new MemberId("a", "0123456789abcdef");
    private static final long LIMIT_SECONDS = 10;

    /** Longer than a signal of the storage thread takes. */
    private static final long SIGNAL_MILLIS = 300;

    private final FullStore mStore = new FullStore();
    private final ReplicaEventLoop mReplica =
            new ReplicaEventLoop(
                    RaftSettings.builder("cluster").build(),
                    new InstanceId(SELF.name()),
                    mStore.load().get(),
                    mStore,
                    new ReplicaPorts(
                            Clocks.system(),
                            message -> {},
                            membership -> {},
                            () -> {},
                            new UpstreamObservations(Clocks.system()),
                            routing -> {},
                            0),
                    Optional.empty());

    @AfterEach
    void stop() {
        mReplica.stop();
    }

    /**
     * Guards against changes that are refused for ever because the queue of the event loop was full
     * at the moment in which the disk had room again.
     */
    @Test
    void changesAreAcceptedAfterRoomReturnedWhileTheLoopWasBusy() throws Exception {
        mReplica.start();
        await(() -> propose(1) instanceof ControlReply.Applied);
        mStore.mFull = true;
        CompletableFuture<ControlReply> waiting = submit(2);
        await(() -> mStore.mWasFull);
        Thread.sleep(SIGNAL_MILLIS);
        assertThat(propose(3), instanceOf(ControlReply.Failed.class));
        CountDownLatch busy = new CountDownLatch(1);
        occupyEventLoop(busy);
        ControlReply refused = new ControlReply.Done();
        while (!(refused instanceof ControlReply.Failed)) {
            refused =
                    mReplica.handle(new ControlRequest.ReadRollout(1))
                            .toCompletableFuture()
                            .getNow(new ControlReply.Done());
        }
        mStore.mFull = false;
        await(() -> mStore.mWrittenSinceFull);
        Thread.sleep(SIGNAL_MILLIS);
        busy.countDown();
        assertThat(
                waiting.get(LIMIT_SECONDS, TimeUnit.SECONDS),
                instanceOf(ControlReply.Applied.class));
        await(() -> propose(4) instanceof ControlReply.Applied);
    }

    /**
     * Blocks the event loop until the latch is released. A reply that is complete before the
     * callback is added runs it on this thread; then another one is asked for.
     */
    private void occupyEventLoop(CountDownLatch released) throws Exception {
        Thread test = Thread.currentThread();
        boolean occupied = false;
        while (!occupied) {
            CompletableFuture<Boolean> onEventLoop = new CompletableFuture<>();
            mReplica.handle(new ControlRequest.ReadMembers())
                    .thenRun(
                            () -> {
                                boolean other = Thread.currentThread() != test;
                                onEventLoop.complete(other);
                                if (other) {
                                    awaitUninterruptibly(released);
                                }
                            });
            occupied = onEventLoop.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private ControlReply propose(long version) {
        try {
            return submit(version).get(LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (Exception exception) {
            throw new AssertionError(exception);
        }
    }

    private CompletableFuture<ControlReply> submit(long version) {
        StateCommand command =
                new StateCommand.PutRouting(0, version, Bytes.ofText("document " + version));
        return mReplica.handle(new ControlRequest.Propose(command)).toCompletableFuture();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        boolean holds = condition.getAsBoolean();
        while (!holds && System.nanoTime() - untilNanos < 0) {
            Thread.sleep(20);
            holds = condition.getAsBoolean();
        }
        assertThat(holds, is(true));
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Keeps nothing; refuses writes while it is full. */
    private static final class FullStore implements LogStore {
        private volatile boolean mFull;
        private volatile boolean mWrittenSinceFull;
        private volatile boolean mWasFull;
        private long mLastIndex = 1;

        @Override
        public Either<StorageFailure, StoredState> load() {
            Membership membership =
                    new Membership(List.of(new Member(SELF, MemberRole.VOTER, "127.0.0.1:1")));
            return Either.right(
                    new StoredState(
                            SELF.storeId(),
                            new HardState(1, ""),
                            Optional.of(SnapshotImage.founding(membership)),
                            List.of()));
        }

        @Override
        public Either<StorageFailure, StorageCompletion> write(List<StorageWrite> writes) {
            if (mFull) {
                mWasFull = true;
                return Either.left(new StorageFailure.DiskFull("test"));
            }
            mWrittenSinceFull = mWasFull;
            mLastIndex =
                    writes.stream()
                            .flatMap(write -> write.entries().stream())
                            .mapToLong(LogEntry::index)
                            .reduce(mLastIndex, Math::max);
            return Either.right(new StorageCompletion(writes.getLast().sequence(), mLastIndex));
        }

        @Override
        public void close() {}
    }
}
