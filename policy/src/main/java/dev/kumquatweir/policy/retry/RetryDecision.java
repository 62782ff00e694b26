package dev.kumquatweir.policy.retry;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.Set;

/** What is done after an attempt ended without an answer. Implementations are immutable. */
public sealed interface RetryDecision {
    /**
     * Try again on another upstream.
     *
     * @param notBeforeNanos earliest start of the next attempt
     * @param resumeOffset tokens that the caller already has
     * @param excludedUpstreams upstreams that must not be used
     * @param lastResortUpstreams upstreams that refused for want of room; usable if there is no
     *     other
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
     * The retry is safe and in time, but the budget is empty: ask again later.
     *
     * @param recheckAtNanos when to ask again
     */
    record Wait(long recheckAtNanos) implements RetryDecision {}

    /**
     * The request ends.
     *
     * @param failure why, with what is known about its execution
     */
    record GiveUp(RequestFailure failure) implements RetryDecision {}
}
