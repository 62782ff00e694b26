package dev.kumquatweir.policy.admission;

import java.util.concurrent.TimeUnit;

/**
 * Rate at which tokens leave the queue of this instance, as an exponentially decaying mean over the
 * last seconds. Measuring its own rate frees the instance from knowing how many others use the same
 * upstreams. Not thread-safe.
 */
public final class DrainRate {
    private static final double WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);

    private double mTokens;
    private double mNanos;
    private long mUpdatedNanos;

    /** Creates a rate with an initial estimate. */
    public DrainRate(double tokensPerNano, long nowNanos) {
        mNanos = WINDOW_NANOS;
        mTokens = tokensPerNano * WINDOW_NANOS;
        mUpdatedNanos = nowNanos;
    }

    /** Records tokens that left the queue for an upstream. */
    public void recordDrained(long tokens, long nowNanos) {
        advance(nowNanos, true);
        mTokens += tokens;
    }

    /**
     * Advances to the present time. Time in which nothing waited does not count, since it says
     * nothing about the rate.
     *
     * @param nowNanos present time
     * @param waiting whether work waited since the last call
     */
    public void advance(long nowNanos, boolean waiting) {
        long elapsed = nowNanos - mUpdatedNanos;
        mUpdatedNanos = nowNanos;
        if (waiting && elapsed > 0) {
            double decay = Math.exp(-elapsed / WINDOW_NANOS);
            mTokens *= decay;
            mNanos = mNanos * decay + elapsed;
        }
    }

    /** Returns the estimated time until a number of tokens has left the queue, in nanoseconds. */
    public double nanosFor(long tokens) {
        return tokens <= 0 ? 0 : tokens * mNanos / Math.max(1, mTokens);
    }
}
