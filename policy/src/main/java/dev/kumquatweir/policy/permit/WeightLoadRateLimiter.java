package dev.kumquatweir.policy.permit;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket that limits the rate of loads from the weight store. Starts empty, so that a change
 * of leader does not allow a second burst. Not thread-safe: owned by {@link PermitLedger}.
 */
public final class WeightLoadRateLimiter {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final double mPerSecond;
    private final double mBurst;
    private double mTokens;
    private long mRefilledNanos;

    /**
     * Creates an empty bucket.
     *
     * @param perSecond loads per second that the weight store can serve
     * @param burst capacity of the bucket: loads that may start together after a pause, at least 1
     * @param nowNanos the current time
     */
    public WeightLoadRateLimiter(double perSecond, double burst, long nowNanos) {
        if (perSecond <= 0 || burst < 1) {
            throw new IllegalArgumentException("load rate must be above 0 and burst at least 1");
        }
        mPerSecond = perSecond;
        mBurst = burst;
        mRefilledNanos = nowNanos;
    }

    boolean tryAcquire(long loads, long nowNanos) {
        long elapsed = nowNanos - mRefilledNanos;
        if (elapsed > 0) {
            mTokens = Math.min(mBurst, mTokens + elapsed / NANOS_PER_SECOND * mPerSecond);
            mRefilledNanos = nowNanos;
        }
        if (mTokens < loads) {
            return false;
        }
        mTokens -= loads;
        return true;
    }
}
