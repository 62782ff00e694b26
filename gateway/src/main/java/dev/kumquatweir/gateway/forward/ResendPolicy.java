package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.routing.Repeatability;

/**
 * Decides whether a request is resent to another upstream after a send has failed because the
 * upstream crashed, dropped the connection or had no capacity. A request is resent only if it is
 * known not to have executed or is repeatable. Holds no state.
 */
final class ResendPolicy {
    /** Sends allowed beyond the route's limit, for upstreams that refused without executing. */
    private static final int MAXIMUM_ADDITIONAL_SENDS = 3;

    private ResendPolicy() {}

    /**
     * Returns whether to resend the request.
     *
     * @param repeatability how often the request may be executed
     * @param possibleExecutions number of failed sends after which the request may have executed
     * @param sends number of all sends so far
     * @param maximumUpstreams number of upstreams that the route allows
     * @param lastMayHaveExecuted whether the request may have executed after the last send
     */
    static boolean mayResend(
            Repeatability repeatability,
            int possibleExecutions,
            int sends,
            int maximumUpstreams,
            boolean lastMayHaveExecuted) {
        if (possibleExecutions > 0 && !repeatability.allowsReexecution()) {
            return false;
        }
        if (lastMayHaveExecuted && possibleExecutions >= maximumUpstreams) {
            return false;
        }
        return sends < maximumUpstreams + MAXIMUM_ADDITIONAL_SENDS;
    }
}
