package dev.kumquatweir.policy.sharing;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Estimates the work per second that a service takes while requests wait for lack of room. Not
 * thread-safe.
 */
final class WorkRate {
    /**
     * Time constant. Answers that begin together end together, so that work is placed in waves with
     * the period of an answer, about two seconds.
     */
    private static final double AVERAGING_SECONDS = 3;

    /** Time of observation below which the present wave decides. */
    private static final double MINIMUM_SECONDS = 1.5;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private double mWork;
    private long mStartNanos;
    private long mUpdatedNanos;

    /** Starts a new measurement. */
    void restart(long nowNanos) {
        mWork = 0;
        mStartNanos = nowNanos;
        mUpdatedNanos = nowNanos;
    }

    void record(double work, long nowNanos) {
        mWork = decayed(nowNanos) + work;
        mUpdatedNanos = nowNanos;
    }

    /** Returns the work per second, empty until it is known. */
    OptionalDouble perSecond(long nowNanos) {
        double seconds = (nowNanos - mStartNanos) / NANOS_PER_SECOND;
        if (seconds < MINIMUM_SECONDS || mWork <= 0) {
            return OptionalDouble.empty();
        }
        double weight = AVERAGING_SECONDS * (1 - Math.exp(-seconds / AVERAGING_SECONDS));
        return OptionalDouble.of(decayed(nowNanos) / weight);
    }

    private double decayed(long nowNanos) {
        double seconds = (nowNanos - mUpdatedNanos) / NANOS_PER_SECOND;
        return mWork * Math.exp(-seconds / AVERAGING_SECONDS);
    }
}
