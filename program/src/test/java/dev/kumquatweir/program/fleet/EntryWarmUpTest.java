package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the requests that an entry instance sends itself before it is ready. */
final class EntryWarmUpTest {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final IoExecutor mExecutor = NettyIoExecutors.createIoExecutor(1, "warm-up");
    private final AtomicLong mNowNanos = new AtomicLong();

    @AfterEach
    void closeExecutor() throws Exception {
        mExecutor.closeAsync().toFuture().get();
    }

    /**
     * Guards against requests that don't take the path of callers: the code stays cold, and the
     * first callers of a new process wait for it.
     */
    @Test
    void allRequestsAreAnswered() throws Exception {
        EntryWarmUp warmUp = start("127.0.0.1");
        long untilNanos = System.nanoTime() + LIMIT_NANOS;
        while (!warmUp.done() && System.nanoTime() - untilNanos < 0) {
            Thread.sleep(10);
        }
        assertThat(warmUp.done(), is(true));
        assertThat(warmUp.answeredCount(), is(EntryWarmUp.REQUESTS));
    }

    /** Guards against an instance that is never ready because its warm-up hangs. */
    @Test
    void readinessIsDelayedForLimitedTime() {
        EntryWarmUp warmUp = new EntryWarmUp(new InstanceId("127.0.0.1"), clocks(), mExecutor);
        assertThat(warmUp.done(), is(false));
        mNowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(EntryWarmUp.MAXIMUM_MILLIS));
        assertThat(warmUp.done(), is(true));
    }

    /** Guards against an instance that is never ready because it can't listen for its warm-up. */
    @Test
    void failureToListenEndsTheWarmUp() {
        assertThat(start("192.0.2.1").done(), is(true));
    }

    private EntryWarmUp start(String address) {
        EntryWarmUp warmUp = new EntryWarmUp(new InstanceId(address), clocks(), mExecutor);
        warmUp.start();
        return warmUp;
    }

    private Clocks clocks() {
        return new Clocks(mNowNanos::get, () -> 1_000);
    }
}
