package dev.kumquatweir.policy.placement;

import java.util.concurrent.TimeUnit;

/**
 * Limits the engine comparisons that do not lead to a placement. With hundreds of waiting requests,
 * comparing all engines for each of them after each event takes longer than the interval between
 * events, and the scheduling instance falls behind permanently. Owned by {@link
 * PlacementScheduler}; not thread-safe.
 */
final class ComparisonBudget {
    /** Interval between two comparisons for one request, about a tenth of an engine's pass. */
    private static final long RECHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /**
     * Refill rate of the budget. Evaluating one engine takes about a microsecond, so that this is a
     * twentieth of a core.
     */
    private static final double ENGINES_PER_MILLI = 45;

    private static final double MAXIMUM_ENGINES = 16 * ENGINES_PER_MILLI;
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private double mRemaining = MAXIMUM_ENGINES;
    private long mRefilledNanos;
    private boolean mRefilled;

    /**
     * Returns whether to compare engines for a request now. The first comparison is always allowed.
     */
    boolean allows(WaitingRequest waiting, long nowNanos) {
        if (!waiting.compared()) {
            return true;
        }
        return nowNanos - waiting.comparedNanos() >= RECHECK_NANOS && remaining(nowNanos) > 0;
    }

    /**
     * Charges a comparison that did not lead to a placement.
     *
     * @param engines number of engines compared
     * @param nowNanos present time
     */
    void recordUnsuccessful(int engines, long nowNanos) {
        mRemaining = remaining(nowNanos) - engines;
    }

    private double remaining(long nowNanos) {
        if (mRefilled) {
            double refill = (nowNanos - mRefilledNanos) / NANOS_PER_MILLI * ENGINES_PER_MILLI;
            mRemaining = Math.min(MAXIMUM_ENGINES, mRemaining + refill);
        }
        mRefilled = true;
        mRefilledNanos = nowNanos;
        return mRemaining;
    }
}
