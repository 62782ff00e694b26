package dev.kumquatweir.policy.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The requests that were rejected a short time ago, to recognise those that callers send again. A
 * request that returns keeps the target of its first arrival, so that it is not scheduled ahead of
 * requests that can still be on time. Owned by {@link WaitingRequests}; not thread-safe.
 *
 * <p>A request is the same if its content is the same and it has the same deadline. The entry
 * instance shortens the time of a caller to the timeout of the route, so that the deadline of a
 * caller with more time moves until its time is below this timeout. Such a request is recognised by
 * its content and by its return at the time that the rejection named.
 */
final class RecentRejections {
    /**
     * Largest difference between the deadlines of two attempts of one request: the times of two
     * uploads differ. Below the shortest time after which a caller is told to return.
     */
    private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Time after the named one within which a caller with a shortened deadline returns. */
    private static final long RETURN_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Callers wait at most one part of this many of the time they have left. */
    static final int TIME_LEFT_PARTS = 3;

    /** About 15 s of rejections at 700 per second. */
    private static final int MAXIMUM_COUNT = 10_000;

    private final Map<String, List<Rejection>> mByContent = new HashMap<>();
    private final Deque<Rejection> mByAge = new ArrayDeque<>();

    /** A rejected request; changes when the request is rejected again. */
    private static final class Rejection {
        private final String mContentHash;
        private final long mTargetNanos;
        private final long mTimeoutNanos;
        private long mDeadlineNanos;
        private long mReturnNanos;

        private Rejection(PlacementRequest request, long timeoutNanos) {
            mContentHash = request.contentHash();
            mTargetNanos = request.targetNanos();
            mTimeoutNanos = timeoutNanos;
            mDeadlineNanos = request.deadlineNanos();
        }

        private void update(PlacementRequest request, long retryAfterMillis, long nowNanos) {
            mDeadlineNanos = request.deadlineNanos();
            long leftNanos = Math.max(0, mDeadlineNanos - nowNanos);
            long toldNanos = TimeUnit.MILLISECONDS.toNanos(retryAfterMillis);
            mReturnNanos = nowNanos + Math.min(toldNanos, leftNanos / TIME_LEFT_PARTS);
        }

        private boolean matches(PlacementRequest request, long nowNanos) {
            long laterNanos = request.deadlineNanos() - mDeadlineNanos;
            return Math.abs(laterNanos) <= TOLERANCE_NANOS
                    || (laterNanos > 0
                            && mTimeoutNanos > 0
                            && request.deadlineNanos() - nowNanos <= mTimeoutNanos + TOLERANCE_NANOS
                            && nowNanos - mReturnNanos >= -TOLERANCE_NANOS
                            && nowNanos - mReturnNanos <= RETURN_NANOS);
        }

        private boolean ended(long nowNanos) {
            return nowNanos - mDeadlineNanos > TOLERANCE_NANOS;
        }
    }

    /**
     * Records a rejection.
     *
     * @param request the request, as {@link #recognise} returned it
     * @param arrivedNanos time of its arrival
     * @param timeoutNanos timeout of its route, 0 if it is not known
     * @param retryAfterMillis time after which the caller is told to return
     * @param nowNanos present time
     */
    void add(
            PlacementRequest request,
            long arrivedNanos,
            long timeoutNanos,
            long retryAfterMillis,
            long nowNanos) {
        if (request.contentHash().isEmpty()) {
            return;
        }
        long limitNanos = request.deadlineNanos() - arrivedNanos;
        boolean shortened = timeoutNanos > 0 && limitNanos >= timeoutNanos - TOLERANCE_NANOS;
        Rejection rejection = find(request, nowNanos).orElse(null);
        if (rejection == null) {
            rejection = new Rejection(request, shortened ? timeoutNanos : 0);
            mByContent
                    .computeIfAbsent(request.contentHash(), key -> new ArrayList<>(1))
                    .add(rejection);
            mByAge.add(rejection);
            removeOld(nowNanos);
        }
        rejection.update(request, retryAfterMillis, nowNanos);
    }

    /** Returns the request with the target of its first arrival if it was rejected before. */
    PlacementRequest recognise(PlacementRequest request, long nowNanos) {
        return find(request, nowNanos)
                .filter(rejection -> rejection.mTargetNanos - request.targetNanos() < 0)
                .map(rejection -> request.withTargetNanos(rejection.mTargetNanos))
                .orElse(request);
    }

    /** Returns the number of rejections that are remembered. */
    int size() {
        return mByAge.size();
    }

    private Optional<Rejection> find(PlacementRequest request, long nowNanos) {
        return mByContent.getOrDefault(request.contentHash(), List.of()).stream()
                .filter(rejection -> rejection.matches(request, nowNanos))
                .findFirst();
    }

    private void removeOld(long nowNanos) {
        while (!mByAge.isEmpty()
                && (mByAge.size() > MAXIMUM_COUNT || mByAge.element().ended(nowNanos))) {
            Rejection oldest = mByAge.remove();
            List<Rejection> same = mByContent.getOrDefault(oldest.mContentHash, List.of());
            if (same.size() <= 1) {
                mByContent.remove(oldest.mContentHash);
            } else {
                same.remove(oldest);
            }
        }
    }
}
