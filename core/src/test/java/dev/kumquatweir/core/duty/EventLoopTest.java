package dev.kumquatweir.core.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EventLoopTest {
    /** Guards against unbounded queue growth when an event loop falls behind its senders. */
    @Test
    void refusesTasksWhenTheQueueIsFull() throws InterruptedException {
        CountDownLatch running = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        EventLoop eventLoop = new EventLoop("test", 1, 1_000, () -> {}, (thread, fault) -> {});
        eventLoop.start();
        eventLoop.offer(
                () -> {
                    running.countDown();
                    await(release);
                });
        assertThat(running.await(30, TimeUnit.SECONDS), is(true));
        assertThat(eventLoop.offer(() -> {}), is(true));
        assertThat(eventLoop.offer(() -> {}), is(false));
        release.countDown();
        eventLoop.stop();
        assertThat(eventLoop.offer(() -> {}), is(false));
    }

    /** Guards against one failing task that ends the thread of the event loop. */
    @Test
    void continuesAfterTaskThrows() throws InterruptedException {
        CountDownLatch reported = new CountDownLatch(1);
        CountDownLatch next = new CountDownLatch(1);
        EventLoop eventLoop =
                new EventLoop("test", 4, 1_000, () -> {}, (thread, fault) -> reported.countDown());
        eventLoop.start();
        eventLoop.offer(
                () -> {
                    throw new IllegalStateException("fault under test");
                });
        eventLoop.offer(next::countDown);
        assertThat(reported.await(30, TimeUnit.SECONDS), is(true));
        assertThat(next.await(30, TimeUnit.SECONDS), is(true));
        eventLoop.stop();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
