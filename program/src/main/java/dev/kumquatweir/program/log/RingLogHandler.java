package dev.kumquatweir.program.log;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.jspecify.annotations.Nullable;

/**
 * Hands log records to one thread through a bounded ring. A full ring, or too many lines a second,
 * leaves records out and counts them; a thread that logs never waits. What went wrong is kept
 * longest: records below {@link Level#WARNING} use only a part of the ring and have a rate limit.
 * Thread-safe.
 */
public final class RingLogHandler extends Handler {
    /** Lines of normal operation a second; ten times what an entry instance writes at full load. */
    private static final long MAXIMUM_LINES_PER_SECOND = 2_000;

    private static final int DEFAULT_CAPACITY_RECORDS = 8_192;
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long FLUSH_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long POLL_TIMEOUT_MILLIS = 200;
    private static volatile boolean sStandardOutput;

    private final BlockingQueue<LogRecord> mQueue;
    private final @Nullable PrintStream mTarget;
    private final AtomicLong mDroppedRecords = new AtomicLong();
    private final AtomicLong mLinesThisSecond = new AtomicLong();
    private final AtomicLong mCurrentSecond = new AtomicLong();
    private volatile boolean mWriting;

    /** Makes a handler that writes to the standard error, or output after the call below. */
    public RingLogHandler() {
        this(DEFAULT_CAPACITY_RECORDS, null);
    }

    /**
     * Makes a handler.
     *
     * @param capacity records that may wait
     * @param target where lines go; null for a stream of the process
     */
    RingLogHandler(int capacity, @Nullable PrintStream target) {
        mQueue = new ArrayBlockingQueue<>(capacity);
        mTarget = target;
        Thread writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Sends lines to the standard output from now on: a daemon prints nothing else there. */
    public static void useStandardOutput() {
        sStandardOutput = true;
    }

    /** Returns how many records were left out and not yet told of. */
    long droppedRecords() {
        return mDroppedRecords.get();
    }

    @Override
    public void publish(@Nullable LogRecord logged) {
        if (logged == null || !isLoggable(logged)) {
            return;
        }
        boolean failure = logged.getLevel().intValue() >= Level.WARNING.intValue();
        boolean hasCapacity = mQueue.remainingCapacity() > mQueue.size() / 3;
        boolean accepted = failure || (hasCapacity && withinRate());
        if (!accepted || !mQueue.offer(logged)) {
            mDroppedRecords.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        long start = System.nanoTime();
        while ((!mQueue.isEmpty() || mWriting) && System.nanoTime() - start < FLUSH_TIMEOUT_NANOS) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }

    @Override
    public void close() {
        flush();
    }

    private boolean withinRate() {
        long second = System.nanoTime() / SECOND_NANOS;
        if (mCurrentSecond.getAndSet(second) != second) {
            mLinesThisSecond.set(0);
        }
        return mLinesThisSecond.incrementAndGet() <= MAXIMUM_LINES_PER_SECOND;
    }

    private void write() {
        while (true) {
            try {
                LogRecord next = mQueue.poll(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                if (next != null) {
                    mWriting = true;
                    target().print(getFormatter().format(next));
                }
                reportDroppedRecords();
                if (mQueue.isEmpty()) {
                    target().flush();
                    mWriting = false;
                }
            } catch (InterruptedException exception) {
                return;
            }
        }
    }

    private void reportDroppedRecords() {
        long dropped = mQueue.isEmpty() ? mDroppedRecords.getAndSet(0) : 0;
        if (dropped > 0) {
            target().println("event=log_lines_left_out count=" + dropped + " reason=overload");
        }
    }

    private PrintStream target() {
        PrintStream target = mTarget;
        if (target != null) {
            return target;
        }
        return sStandardOutput ? System.out : System.err;
    }
}
