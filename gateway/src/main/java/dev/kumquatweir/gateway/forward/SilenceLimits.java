package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.routing.Repeatability;
import dev.kumquatweir.core.routing.Route;

/**
 * Time limits after which an upstream that sends nothing counts as failed and the request is resent
 * to another one. Covers upstreams that hang and connections that are lost without a reset.
 * Requests that must not be executed twice have no limit, because their response may still arrive.
 * Holds no state.
 */
final class SilenceLimits {
    /** The first event occasionally takes this many times its estimate without a fault. */
    private static final double ESTIMATE_FACTOR = 2.5;

    private static final long ESTIMATE_SLACK_MILLIS = 700;

    /**
     * Prefill of prompts placed later may run first and delay the first event by up to one target
     * latency.
     */
    private static final double TARGET_FACTOR = 1.5;

    /**
     * Gaps of several batch steps are caused by prefill of other prompts in the same batch, not by
     * a fault.
     */
    private static final long GAP_FACTOR = 4;

    private static final long MINIMUM_GAP_LIMIT_MILLIS = 800;

    /** A call of a plain service occasionally exceeds its target latency several times. */
    private static final long CALL_TARGET_FACTOR = 2;

    private SilenceLimits() {}

    /**
     * Returns the limit for the first event, or for the response if the route is not streamed, in
     * milliseconds after the send; {@link Long#MAX_VALUE} if there is none.
     */
    static long firstEventLimitMillis(Route route, long expectedMillis) {
        if (!route.repeatability().allowsReexecution()) {
            return Long.MAX_VALUE;
        }
        if (!route.streaming()) {
            return CALL_TARGET_FACTOR * route.targetLatencyMillis();
        }
        long estimateMillis = ESTIMATE_SLACK_MILLIS + (long) (ESTIMATE_FACTOR * expectedMillis);
        return Math.max(estimateMillis, (long) (TARGET_FACTOR * route.targetLatencyMillis()));
    }

    /**
     * Returns the limit for the gap between two events in milliseconds, {@link Long#MAX_VALUE} if
     * there is none.
     */
    static long eventGapLimitMillis(Route route) {
        return route.repeatability() == Repeatability.RESUMABLE
                ? Math.max(MINIMUM_GAP_LIMIT_MILLIS, GAP_FACTOR * route.targetGapMillis())
                : Long.MAX_VALUE;
    }
}
