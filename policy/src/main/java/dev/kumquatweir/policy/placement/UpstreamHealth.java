package dev.kumquatweir.policy.placement;

import java.util.concurrent.TimeUnit;

/**
 * Health of one upstream, judged by the outcomes of its requests rather than by its own reports.
 * Acts as a circuit breaker for upstreams that crash, hang or flap, and tracks the error rate and
 * slowdown of those that fail or delay a part of their requests. Owned by {@link
 * PlacementUpstream}; not thread-safe.
 */
final class UpstreamHealth {
    private static final long FIRST_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final int MAXIMUM_DOUBLINGS = 4;

    /** Failures within this time count as one, since they probably share a cause. */
    private static final long SAME_CAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Suspension after a refusal for lack of capacity, one or two passes of an engine. */
    private static final long FULL_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Age up to which progress shows that an upstream works. If it started or completed an answer
     * within this time, a lost answer raises its error rate but does not suspend it. Longer than a
     * pass that prefills long prompts.
     */
    private static final long RECENT_PROGRESS_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private static final double ERROR_WEIGHT = 0.2;
    private static final double ERROR_DECAY_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final double SLOWDOWN_WEIGHT = 0.35;
    private static final double SLOWDOWN_DECAY_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final double MAXIMUM_SLOWDOWN = 10;

    /**
     * Slowdown below which an upstream counts as normal. Single answers deviate this much from
     * their estimates on healthy engines.
     */
    private static final double SLOWDOWN_THRESHOLD = 1.35;

    private int mFailures;
    private long mFailedNanos;
    private long mSuspendedUntilNanos;
    private boolean mFailed;
    private boolean mHasProgress;
    private long mProgressNanos;
    private double mErrorRate;
    private long mErrorRateNanos;
    private double mSlowdown = 1;
    private long mSlowdownNanos;

    /** Records a request whose connection failed or that timed out after it was sent. */
    void recordLostAnswer(long nowNanos) {
        updateErrorRate(true, nowNanos);
        if (!mHasProgress || nowNanos - mProgressNanos > RECENT_PROGRESS_NANOS) {
            failed(nowNanos);
        }
    }

    /** Records that an answer has started or completed. */
    void recordProgress(long nowNanos) {
        mHasProgress = true;
        mProgressNanos = nowNanos;
    }

    /** Returns whether an answer has started or completed at or after the given time. */
    boolean hasProgressSince(long nanos) {
        return mHasProgress && mProgressNanos - nanos >= 0;
    }

    /** Records a failure, such as a failed connection, and suspends the upstream. */
    void failed(long nowNanos) {
        if (mFailed && nowNanos - mFailedNanos < SAME_CAUSE_NANOS) {
            return;
        }
        mFailed = true;
        mFailedNanos = nowNanos;
        long suspension = FIRST_SUSPENSION_NANOS << Math.min(mFailures, MAXIMUM_DOUBLINGS);
        mSuspendedUntilNanos = nowNanos + suspension;
        mFailures++;
    }

    void recordFull(long nowNanos) {
        mSuspendedUntilNanos = Math.max(mSuspendedUntilNanos, nowNanos + FULL_SUSPENSION_NANOS);
    }

    void answered(boolean error, long nowNanos) {
        if (!error) {
            mFailures = Math.max(0, mFailures - 1);
            mFailed = mFailures > 0 && mFailed;
        }
        recordProgress(nowNanos);
        updateErrorRate(error, nowNanos);
    }

    private void updateErrorRate(boolean error, long nowNanos) {
        mErrorRate = errorRate(nowNanos) * (1 - ERROR_WEIGHT) + (error ? ERROR_WEIGHT : 0);
        mErrorRateNanos = nowNanos;
    }

    /** Records the ratio of measured to estimated time of a request. */
    void recordSlowdown(double ratio, long nowNanos) {
        double bounded = Math.min(MAXIMUM_SLOWDOWN, Math.max(0.5, ratio));
        mSlowdown = decayedSlowdown(nowNanos) * (1 - SLOWDOWN_WEIGHT) + bounded * SLOWDOWN_WEIGHT;
        mSlowdownNanos = nowNanos;
    }

    /**
     * Returns the number of requests that may run at once: none while suspended, one or two as
     * probes after failures, else all slots.
     */
    int availableSlots(int slots, long nowNanos) {
        if (nowNanos - mSuspendedUntilNanos < 0) {
            return 0;
        }
        return mFailures > 0 ? Math.min(slots, mFailures > 1 ? 1 : 2) : slots;
    }

    /** Returns the share of requests that fail, decaying over time. */
    double errorRate(long nowNanos) {
        return mErrorRate * Math.exp(-(nowNanos - mErrorRateNanos) / ERROR_DECAY_NANOS);
    }

    /**
     * Returns the factor by which its requests take longer than estimated, 1 if no slowdown is
     * known.
     */
    double slowdown(long nowNanos) {
        double decayed = decayedSlowdown(nowNanos);
        return decayed < SLOWDOWN_THRESHOLD ? 1 : decayed;
    }

    private double decayedSlowdown(long nowNanos) {
        return 1 + (mSlowdown - 1) * Math.exp(-(nowNanos - mSlowdownNanos) / SLOWDOWN_DECAY_NANOS);
    }
}
