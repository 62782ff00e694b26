package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.routing.Route;
import java.util.HashMap;
import java.util.Map;

/**
 * Finds requests that come back after a rejection: their callers have less time left than callers
 * of the route have at first. Such a request is as old as the time that is missing, so it does not
 * pass for one that can still be on time. Used on the I/O thread.
 */
final class ReturningCallers {
    private static final int MAXIMUM_ROUTES = 10_000;

    /** Callers' clocks and the way here take a little of the time. */
    private static final long TOLERANCE_MILLIS = 100;

    private final Map<String, Long> mLongestTimeoutByRoute = new HashMap<>();

    /** Returns for how long the caller has been asking, 0 for a first request. */
    long ageMillis(Route route, CallerRequestHead head) {
        if (head.remainingMillis().isEmpty()) {
            return 0;
        }
        long remaining = head.remainingMillis().getAsLong();
        if (mLongestTimeoutByRoute.size() > MAXIMUM_ROUTES) {
            mLongestTimeoutByRoute.clear();
        }
        long longest = mLongestTimeoutByRoute.merge(route.name(), remaining, Math::max);
        long missing = longest - remaining;
        return missing > TOLERANCE_MILLIS ? missing : 0;
    }
}
