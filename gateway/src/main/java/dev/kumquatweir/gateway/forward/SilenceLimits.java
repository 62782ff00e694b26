package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.routing.Repeatability;
import dev.kumquatweir.core.routing.Route;

/**
 * Decides how long an upstream may stay silent before its work is given to another one. Pure.
 * Answers the load in which upstreams hang or connections go silent without a reset. A request that
 * may run only once is never given up for silence: its answer may still come.
 */
final class SilenceLimits {
    /** An estimate of the first event is exceeded this far now and then without a fault. */
    private static final double ESTIMATE_FACTOR = 2.5;

    private static final long ESTIMATE_SLACK_MILLIS = 700;

    /** Parts of other prompts, placed later, are read first and may take as long as a target. */
    private static final double TARGET_FACTOR = 1.5;

    /** Pauses of several passes come from prompts read beside the stream, not from a fault. */
    private static final long GAP_FACTOR = 4;

    private static final long MINIMUM_GAP_LIMIT_MILLIS = 800;

    /** A call of a plain service takes its target now and then several times over. */
    private static final long CALL_TARGET_FACTOR = 2;

    private SilenceLimits() {}

    /** Returns the limit for the first event or the answer, in milliseconds after the send. */
    static long firstEventLimitMillis(Route route, long expectedMillis) {
        if (!route.repeatability().allowsReexecution()) {
            return Long.MAX_VALUE;
        }
        if (!route.streaming()) {
            return CALL_TARGET_FACTOR * route.targetLatencyMillis();
        }
        long estimate = ESTIMATE_SLACK_MILLIS + (long) (ESTIMATE_FACTOR * expectedMillis);
        return Math.max(estimate, (long) (TARGET_FACTOR * route.targetLatencyMillis()));
    }

    /** Returns the limit for the pause between two events, in milliseconds. */
    static long eventGapLimitMillis(Route route) {
        return route.repeatability() == Repeatability.RESUMABLE
                ? Math.max(MINIMUM_GAP_LIMIT_MILLIS, GAP_FACTOR * route.targetGapMillis())
                : Long.MAX_VALUE;
    }
}
