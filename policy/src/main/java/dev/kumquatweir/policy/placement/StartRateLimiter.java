package dev.kumquatweir.policy.placement;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** Limits the requests that start on one upstream within any second. Not thread-safe. */
final class StartRateLimiter {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ArrayDeque<Long> mStarts = new ArrayDeque<>();

    void started(long nowNanos) {
        mStarts.addLast(nowNanos);
    }

    /** Returns whether another start keeps the last second within the limit. */
    boolean allows(double perSecond, long nowNanos) {
        while (!mStarts.isEmpty() && nowNanos - mStarts.peekFirst() > SECOND_NANOS) {
            mStarts.removeFirst();
        }
        return mStarts.size() + 1 <= perSecond;
    }
}
