package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.routing.Route;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the age of requests that callers retry after a rejection. A retry has less time left
 * than the longest remaining time seen on its route; the difference is its age. Without this age it
 * would be scheduled as if it could still meet its target latency. Confined to the I/O thread.
 */
final class ReturningCallers {
    private static final int MAXIMUM_ROUTES = 10_000;

    /** Differences up to this are caused by callers' clocks and the network. */
    private static final long TOLERANCE_MILLIS = 100;

    private final Map<String, Long> mLongestTimeoutByRoute = new HashMap<>();

    /**
     * Returns the time in milliseconds since the caller first sent the request, 0 for a first
     * request.
     */
    long ageMillis(Route route, CallerRequestHead head) {
        if (head.remainingMillis().isEmpty()) {
            return 0;
        }
        long remainingMillis = head.remainingMillis().getAsLong();
        if (mLongestTimeoutByRoute.size() > MAXIMUM_ROUTES) {
            mLongestTimeoutByRoute.clear();
        }
        long longestMillis = mLongestTimeoutByRoute.merge(route.name(), remainingMillis, Math::max);
        long missingMillis = longestMillis - remainingMillis;
        return missingMillis > TOLERANCE_MILLIS ? missingMillis : 0;
    }
}
