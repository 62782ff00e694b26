package dev.kumquatweir.policy.placement;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** Counts the requests that one upstream got within the last second. Not thread-safe. */
final class StartRate {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ArrayDeque<Long> mStarts = new ArrayDeque<>();

    void started(long nowNanos) {
        mStarts.addLast(nowNanos);
    }

    /** Returns whether one more request keeps each span of a second within the limit. */
    boolean allows(double perSecond, long nowNanos) {
        while (!mStarts.isEmpty() && nowNanos - mStarts.peekFirst() > SECOND_NANOS) {
            mStarts.removeFirst();
        }
        return mStarts.size() + 1 <= perSecond;
    }
}
