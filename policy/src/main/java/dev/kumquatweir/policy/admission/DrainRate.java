package dev.kumquatweir.policy.admission;

import java.util.concurrent.TimeUnit;

/**
 * How many tokens per second leave a queue, over the last seconds. The rate of this instance alone
 * is measured, so that it need not know how many other instances use the same upstreams. Not
 * thread-safe.
 */
public final class DrainRate {
    private static final double WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);

    private double mTokens;
    private double mNanos;
    private long mSeenNanos;

    /** Makes a rate that starts at a guess. */
    public DrainRate(double tokensPerNano, long nowNanos) {
        mNanos = WINDOW_NANOS;
        mTokens = tokensPerNano * WINDOW_NANOS;
        mSeenNanos = nowNanos;
    }

    /** Takes work that left the queue for an upstream. */
    public void recordDrained(long tokens, long nowNanos) {
        advance(nowNanos, true);
        mTokens += tokens;
    }

    /** Lets time pass. Time in which nothing waited says nothing about the rate. */
    public void advance(long nowNanos, boolean waiting) {
        long elapsed = nowNanos - mSeenNanos;
        mSeenNanos = nowNanos;
        if (waiting && elapsed > 0) {
            double keep = Math.exp(-elapsed / WINDOW_NANOS);
            mTokens *= keep;
            mNanos = mNanos * keep + elapsed;
        }
    }

    /** Returns the estimated time until a number of tokens has left. */
    public double nanosFor(long tokens) {
        return tokens <= 0 ? 0 : tokens * mNanos / Math.max(1, mTokens);
    }
}
