package dev.kumquatweir.policy.retry;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.Set;

/** What to do after an attempt ended without an answer. Implementations are immutable. */
public sealed interface RetryDecision {
    /**
     * Try again on another upstream.
     *
     * @param notBeforeNanos earliest start of the next attempt
     * @param resumeOffset tokens already delivered to the caller
     * @param excludedUpstreams upstreams that must not be used
     * @param lastResortUpstreams upstreams that refused for lack of capacity, to use only if there
     *     is no other
     * @param avoidedDomains failure domains to use only if there is no other
     */
    record Retry(
            long notBeforeNanos,
            long resumeOffset,
            Set<UpstreamId> excludedUpstreams,
            Set<UpstreamId> lastResortUpstreams,
            Set<FailureDomain> avoidedDomains)
            implements RetryDecision {
        /** Copies the sets, so that the record is immutable. */
        public Retry {
            excludedUpstreams = Set.copyOf(excludedUpstreams);
            lastResortUpstreams = Set.copyOf(lastResortUpstreams);
            avoidedDomains = Set.copyOf(avoidedDomains);
        }
    }

    /**
     * The retry is safe and within the deadline, but the budget is empty.
     *
     * @param recheckAtNanos when to decide again
     */
    record Wait(long recheckAtNanos) implements RetryDecision {}

    /**
     * The request fails.
     *
     * @param failure the failure, which states whether the request executed
     */
    record GiveUp(RequestFailure failure) implements RetryDecision {}
}
