package dev.kumquatweir.policy.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Limits the retries of one service within a sliding window. Unlike a token bucket it accumulates
 * no credit, so that the retries never exceed the window's share. Owned by {@link
 * PlacementScheduler}; not thread-safe.
 */
final class SlidingRetryBudget {
    /**
     * Share of the limit that this scheduler uses. The rest covers retries of standalone instances.
     */
    private static final double USED_SHARE = 0.75;

    private final PlacementLimits mLimits;
    private final Deque<Long> mFirstSends = new ArrayDeque<>();
    private final Deque<Long> mRetries = new ArrayDeque<>();

    SlidingRetryBudget(PlacementLimits limits) {
        mLimits = limits;
    }

    void recordFirstSend(long nowNanos) {
        mFirstSends.addLast(nowNanos);
        removeExpired(nowNanos);
    }

    /**
     * Records a retry if the window allows it.
     *
     * @param instances number of instances that place requests without coordination
     * @param nowNanos present time
     * @return whether the retry is allowed
     */
    boolean tryRetry(int instances, long nowNanos) {
        removeExpired(nowNanos);
        double additional = (double) mLimits.additionalRetries() / instances;
        double allowed = USED_SHARE * (mLimits.retryRatio() * mFirstSends.size() + additional);
        if (mRetries.size() + 1 > allowed) {
            return false;
        }
        mRetries.addLast(nowNanos);
        return true;
    }

    private void removeExpired(long nowNanos) {
        long windowNanos = TimeUnit.MILLISECONDS.toNanos(mLimits.retryWindowMillis());
        while (!mFirstSends.isEmpty() && nowNanos - mFirstSends.peekFirst() > windowNanos) {
            mFirstSends.removeFirst();
        }
        while (!mRetries.isEmpty() && nowNanos - mRetries.peekFirst() > windowNanos) {
            mRetries.removeFirst();
        }
    }
}
