package dev.kumquatweir.core.duty;

import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A single-threaded executor with a bounded task queue and a periodic tick. Tasks and ticks run on
 * its thread only, so the state that they use needs no locks. A full queue refuses a task instead
 * of blocking the sender (backpressure).
 *
 * <p>Thread-safe. {@link #start} and {@link #stop} may each be called once.
 */
public final class EventLoop {
    private static final Duration JOIN_LIMIT = Duration.ofSeconds(10);

    private final BlockingQueue<Runnable> mQueue;
    private final LongSupplier mTickIntervalMillis;
    private final Runnable mTick;
    private final Thread mThread;
    private volatile boolean mStopped;

    /**
     * Creates an event loop that is not started yet.
     *
     * @param name name of the thread
     * @param queueCapacity maximum number of queued tasks
     * @param tickIntervalMillis longest time between two calls of {@code tick}, at least 1
     * @param tick called on the thread of the event loop between tasks, at least every {@code
     *     tickIntervalMillis}
     * @param onFault called on the thread of the event loop when a task or tick throws; the thread
     *     continues with the next task
     */
    public EventLoop(
            String name,
            int queueCapacity,
            long tickIntervalMillis,
            Runnable tick,
            Thread.UncaughtExceptionHandler onFault) {
        this(name, queueCapacity, () -> tickIntervalMillis, tick, onFault);
    }

    /**
     * Creates an event loop with a variable tick interval, so that ticks can be further apart while
     * there is little to do. It is not started yet.
     *
     * @param name name of the thread
     * @param queueCapacity maximum number of queued tasks
     * @param tickIntervalMillis supplies the longest time until the next call of {@code tick}, at
     *     least 1; called on the thread of the event loop
     * @param tick called on the thread of the event loop between tasks
     * @param onFault called on the thread of the event loop when a task or tick throws; the thread
     *     continues with the next task
     */
    public EventLoop(
            String name,
            int queueCapacity,
            LongSupplier tickIntervalMillis,
            Runnable tick,
            Thread.UncaughtExceptionHandler onFault) {
        mQueue = new ArrayBlockingQueue<>(queueCapacity);
        mTickIntervalMillis = tickIntervalMillis;
        mTick = tick;
        mThread = new Thread(() -> runUntilStopped(onFault), name);
        mThread.setDaemon(true);
    }

    /** Starts the thread. Call it at most once. */
    public void start() {
        mThread.start();
    }

    /**
     * Ends the thread after the current task, which is interrupted; queued tasks are dropped. Waits
     * up to 10 s for the thread to end, unless called on that thread.
     */
    public void stop() {
        mStopped = true;
        mThread.interrupt();
        if (Thread.currentThread() == mThread) {
            return;
        }
        try {
            mThread.join(JOIN_LIMIT);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Queues a task. Never blocks.
     *
     * @param task runs on the thread of the event loop, in the order of calls
     * @return false if the queue is full or the event loop has been stopped; the task will not run
     */
    public boolean offer(Runnable task) {
        return !mStopped && mQueue.offer(task);
    }

    /** Returns whether the calling thread is the thread of the event loop. */
    public boolean inEventLoop() {
        return Thread.currentThread() == mThread;
    }

    /** Returns the number of queued tasks. */
    public int queuedTasks() {
        return mQueue.size();
    }

    private void runUntilStopped(Thread.UncaughtExceptionHandler onFault) {
        long lastTickNanos = System.nanoTime();
        while (!mStopped) {
            try {
                long waitNanos = lastTickNanos + tickIntervalNanos() - System.nanoTime();
                Runnable task =
                        waitNanos > 0
                                ? mQueue.poll(waitNanos, TimeUnit.NANOSECONDS)
                                : mQueue.poll();
                if (task != null) {
                    task.run();
                }
                if (System.nanoTime() - lastTickNanos >= tickIntervalNanos()) {
                    lastTickNanos = System.nanoTime();
                    mTick.run();
                }
            } catch (InterruptedException exception) {
                // Only stop() interrupts this thread; the loop condition then ends it.
            } catch (RuntimeException | Error fault) {
                onFault.uncaughtException(mThread, fault);
            }
        }
    }

    private long tickIntervalNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mTickIntervalMillis.getAsLong());
    }
}
