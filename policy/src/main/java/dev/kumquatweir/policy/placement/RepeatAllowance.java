package dev.kumquatweir.policy.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Bounds how many requests of one service are sent again within a sliding window. Unlike a token
 * bucket it never allows more than the window's share, whatever came before. Not thread-safe.
 */
final class RepeatAllowance {
    /** Part of the bound that is used; the rest is for sends that other instances made alone. */
    private static final double USED_SHARE = 0.75;

    private final PlacementLimits mLimits;
    private final Deque<Long> mFirst = new ArrayDeque<>();
    private final Deque<Long> mRepeats = new ArrayDeque<>();

    RepeatAllowance(PlacementLimits limits) {
        mLimits = limits;
    }

    void first(long nowNanos) {
        mFirst.addLast(nowNanos);
        forget(nowNanos);
    }

    /** Takes one repeat if the window allows it. */
    boolean take(int instances, long nowNanos) {
        forget(nowNanos);
        double extra = (double) mLimits.additionalRetries() / instances;
        double allowed = USED_SHARE * (mLimits.retryRatio() * mFirst.size() + extra);
        if (mRepeats.size() + 1 > allowed) {
            return false;
        }
        mRepeats.addLast(nowNanos);
        return true;
    }

    private void forget(long nowNanos) {
        long windowNanos = TimeUnit.MILLISECONDS.toNanos(mLimits.retryWindowMillis());
        while (!mFirst.isEmpty() && nowNanos - mFirst.peekFirst() > windowNanos) {
            mFirst.removeFirst();
        }
        while (!mRepeats.isEmpty() && nowNanos - mRepeats.peekFirst() > windowNanos) {
            mRepeats.removeFirst();
        }
    }
}
