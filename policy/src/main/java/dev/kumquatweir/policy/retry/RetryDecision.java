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
     * @param excluded upstreams that must not be used
     * @param lastResort upstreams that refused for want of room; usable if there is no other
     * @param avoided failure domains to use only if there is no other
     */
    record Retry(
            long notBeforeNanos,
            long resumeOffset,
            Set<UpstreamId> excluded,
            Set<UpstreamId> lastResort,
            Set<FailureDomain> avoided)
            implements RetryDecision {
        /** Copies the sets, so that the record is immutable. */
        public Retry {
            excluded = Set.copyOf(excluded);
            lastResort = Set.copyOf(lastResort);
            avoided = Set.copyOf(avoided);
        }
    }

    /**
     * The retry is safe and in time, but the budget is empty: ask again later.
     *
     * @param untilNanos when to ask again
     */
    record Wait(long untilNanos) implements RetryDecision {}

    /**
     * The request ends.
     *
     * @param failure why, with what is known about its execution
     */
    record GiveUp(RequestFailure failure) implements RetryDecision {}
}
