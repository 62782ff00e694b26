package dev.kumquatweir.policy.dispatch;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Priority queue of the admitted requests, ordered by deadline. Not thread-safe: owned by the
 * dispatch duty.
 */
final class DeadlineQueue {
    /**
     * A request fails this long before its deadline, so that the failure reaches the caller in
     * time.
     */
    static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    private final PriorityQueue<TrackedRequest> mRequests =
            new PriorityQueue<>(
                    Comparator.comparingLong(tracked -> tracked.mRequest.deadlineNanos()));

    void add(TrackedRequest tracked) {
        mRequests.add(tracked);
    }

    /** Removes and returns the next overdue request that has not ended, null if there is none. */
    @Nullable TrackedRequest pollOverdue(long nowNanos) {
        TrackedRequest next = mRequests.peek();
        while (next != null
                && (next.mEnded || nowNanos >= next.mRequest.deadlineNanos() - MARGIN_NANOS)) {
            mRequests.poll();
            if (!next.mEnded) {
                return next;
            }
            next = mRequests.peek();
        }
        return null;
    }
}
