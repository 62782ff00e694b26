package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.routing.Repeatability;

/**
 * Decides whether a request whose send has failed is sent again. Pure. Answers the load in which
 * upstreams crash, break off or have no room: only what is proved not to have run, or may run
 * again, goes to a second upstream.
 */
final class ResendPolicy {
    /** Sends that upstreams promise not to have run, on top of the route's own limit. */
    private static final int MAXIMUM_ADDITIONAL_SENDS = 3;

    private ResendPolicy() {}

    /**
     * Returns whether to send again.
     *
     * @param repeatability how often the request may run
     * @param possibleExecutions sends after which it may have run
     * @param sends all sends
     * @param maximumUpstreams to how many upstreams the route allows it to be sent
     * @param lastMayHaveExecuted whether the last send may have run
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
