package dev.kumquatweir.core.duty;

import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * One thread that owns the state of one duty. Other threads hand it work through a bounded ring; a
 * full ring refuses the work instead of blocking the sender.
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
     * Makes a duty that is not yet running.
     *
     * @param name name of the thread
     * @param queueCapacity largest number of waiting tasks
     * @param tickIntervalMillis longest time between two calls of {@code tick}, at least 1
     * @param tick called on the duty's thread between tasks, at least every {@code
     *     tickIntervalMillis}
     * @param onFault called on the duty's thread when a task or tick throws; the duty goes on
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
     * Makes a duty whose ticks are further apart while there is little to do.
     *
     * @param name name of the thread
     * @param queueCapacity largest number of waiting tasks
     * @param tickIntervalMillis longest time until the next call of {@code tick}, at least 1; asked
     *     on the duty's thread
     * @param tick called on the duty's thread between tasks
     * @param onFault called on the duty's thread when a task or tick throws; the duty goes on
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

    /** Starts the thread. */
    public void start() {
        mThread.start();
    }

    /** Ends the thread after the task in hand; waiting tasks are dropped. Waits up to 10 s. */
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
     * Hands a task to the duty's thread.
     *
     * @param task runs on the duty's thread, in the order of offers
     * @return false if the ring is full or the duty has stopped; the task will not run then
     */
    public boolean offer(Runnable task) {
        return !mStopped && mQueue.offer(task);
    }

    /** Returns whether the caller is on the duty's thread. */
    public boolean inEventLoop() {
        return Thread.currentThread() == mThread;
    }

    /** Returns the number of waiting tasks. */
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
                // Only stop() interrupts this thread; the loop condition ends it.
            } catch (RuntimeException | Error fault) {
                onFault.uncaughtException(mThread, fault);
            }
        }
    }

    private long tickIntervalNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mTickIntervalMillis.getAsLong());
    }
}
