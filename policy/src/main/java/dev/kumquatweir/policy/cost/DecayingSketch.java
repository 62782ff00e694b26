package dev.kumquatweir.policy.cost;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.AbstractHistogram;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Distribution of recent values. Holds the present and the previous window, so that values are
 * forgotten after one to two windows, whether many or few arrive. A sketch that gets no values
 * keeps its last ones. Not thread-safe.
 */
final class DecayingSketch {
    /** Number of values after which a window ends; a change is followed within two of them. */
    private static final long WINDOW_COUNT = 64;

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long MAXIMUM_VALUE = 1 << 22;

    /** One digit keeps the relative error below 10% in about 1.2 kB per window. */
    private static final int DIGITS = 1;

    private static final double PERCENT = 100;

    private AbstractHistogram mCurrent = newWindow();
    private AbstractHistogram mPrevious = newWindow();
    private long mWindowNanos;

    DecayingSketch(long nowNanos) {
        mWindowNanos = nowNanos;
    }

    private static AbstractHistogram newWindow() {
        return new IntCountsHistogram(MAXIMUM_VALUE, DIGITS);
    }

    /** Adds a value; values outside the range are moved to its ends. */
    void record(long value, long nowNanos) {
        boolean full = mCurrent.getTotalCount() >= WINDOW_COUNT;
        if (full || nowNanos - mWindowNanos > WINDOW_NANOS) {
            AbstractHistogram oldest = mPrevious;
            mPrevious = mCurrent;
            mCurrent = oldest;
            mCurrent.reset();
            mWindowNanos = nowNanos;
        }
        mCurrent.recordValue(Math.max(0, Math.min(MAXIMUM_VALUE, value)));
    }

    long count() {
        return mCurrent.getTotalCount() + mPrevious.getTotalCount();
    }

    /** Returns the mean, 0 if there are no values. */
    double mean() {
        long count = count();
        double sum =
                mCurrent.getMean() * mCurrent.getTotalCount()
                        + mPrevious.getMean() * mPrevious.getTotalCount();
        return count == 0 ? 0 : sum / count;
    }

    /** Returns the value that a share of the values, 0 to 1, does not exceed. */
    double quantile(double share) {
        AbstractHistogram both = mCurrent.copy();
        both.add(mPrevious);
        return both.getValueAtPercentile(PERCENT * share);
    }
}
