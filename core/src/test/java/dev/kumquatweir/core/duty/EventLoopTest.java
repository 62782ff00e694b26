package dev.kumquatweir.core.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EventLoopTest {
    /** Guards against unbounded growth when a duty falls behind its senders. */
    @Test
    void refusesTasksWhenTheQueueIsFull() throws InterruptedException {
        CountDownLatch running = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        EventLoop duty = new EventLoop("test", 1, 1_000, () -> {}, (thread, fault) -> {});
        duty.start();
        duty.offer(
                () -> {
                    running.countDown();
                    await(release);
                });
        assertThat(running.await(30, TimeUnit.SECONDS), is(true));
        assertThat(duty.offer(() -> {}), is(true));
        assertThat(duty.offer(() -> {}), is(false));
        release.countDown();
        duty.stop();
        assertThat(duty.offer(() -> {}), is(false));
    }

    /** Guards against one faulty task ending the duty for good. */
    @Test
    void continuesAfterTaskThrows() throws InterruptedException {
        CountDownLatch reported = new CountDownLatch(1);
        CountDownLatch next = new CountDownLatch(1);
        EventLoop duty =
                new EventLoop("test", 4, 1_000, () -> {}, (thread, fault) -> reported.countDown());
        duty.start();
        duty.offer(
                () -> {
                    throw new IllegalStateException("fault under test");
                });
        duty.offer(next::countDown);
        assertThat(reported.await(30, TimeUnit.SECONDS), is(true));
        assertThat(next.await(30, TimeUnit.SECONDS), is(true));
        duty.stop();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
