package dev.kumquatweir.policy.stop;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a kept connection or a listening socket can be closed without losing a request that
 * has arrived but was not read yet. The I/O thread checks in rounds; between two rounds it reads
 * what has arrived. A round that comes late proves nothing, since the thread may have looked for
 * arrivals before it was held up. Not thread-safe.
 */
public final class QuietRounds {
    /** Time between two rounds. */
    public static final long ROUND_MILLIS = 100;

    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private boolean mBegun;
    private boolean mFull;
    private long mLastNanos;
    private long mNowNanos;

    /** Begins a round; returns by how much it is late. */
    public long begin(long nowNanos) {
        long lateNanos =
                mBegun ? nowNanos - mNowNanos - TimeUnit.MILLISECONDS.toNanos(ROUND_MILLIS) : 0;
        mFull = mBegun && lateNanos <= LATE_NANOS;
        mLastNanos = mNowNanos;
        mNowNanos = nowNanos;
        mBegun = true;
        return Math.max(0, lateNanos);
    }

    /**
     * Returns whether a connection can be closed: nothing has arrived since the round before, and
     * the I/O thread was in time, also within this round.
     *
     * @param lastNanos when something was last read, accepted or answered
     */
    public boolean quietSince(long lastNanos, long nowNanos) {
        return mFull && lastNanos - mLastNanos < 0 && nowNanos - mNowNanos <= LATE_NANOS;
    }
}
