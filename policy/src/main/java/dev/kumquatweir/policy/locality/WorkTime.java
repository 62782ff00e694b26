package dev.kumquatweir.policy.locality;

import java.util.concurrent.TimeUnit;

/**
 * Time that one upstream takes for a call, measured from its answers. The deviation from the other
 * upstreams decays, so that one that was slow gets calls again. Not thread-safe.
 */
public final class WorkTime {
    /** Assumed while no answer has been measured. */
    public static final double DEFAULT_MILLIS = 100;

    private static final double MINIMUM_MILLIS = 1;
    private static final double MAXIMUM_MILLIS = 10_000;
    private static final double WEIGHT = 0.3;
    private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(4);

    private boolean mMeasured;
    private double mMillis;
    private long mMeasuredNanos;

    /** Records the time of an answer without the crossing. */
    public void record(double millis, long nowNanos) {
        double bounded = Math.max(MINIMUM_MILLIS, Math.min(MAXIMUM_MILLIS, millis));
        mMillis = mMeasured ? mMillis + WEIGHT * (bounded - mMillis) : bounded;
        mMeasured = true;
        mMeasuredNanos = nowNanos;
    }

    /** Forgets the measured time, for an upstream that has restarted. */
    public void reset() {
        mMeasured = false;
    }

    /** Returns whether an answer has been measured. */
    public boolean measured() {
        return mMeasured;
    }

    /** Returns the measured time in milliseconds; valid if there is one. */
    public double millis() {
        return mMillis;
    }

    /**
     * Returns the expected time in milliseconds.
     *
     * @param usualMillis time that upstreams of the service take usually
     */
    public double expectedMillis(double usualMillis, long nowNanos) {
        if (!mMeasured) {
            return usualMillis;
        }
        double kept = Math.exp(-Math.max(0, nowNanos - mMeasuredNanos) / DECAY_NANOS);
        return usualMillis + kept * (mMillis - usualMillis);
    }
}
