package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.Optional;
import java.util.Set;

/**
 * Decides whether a request is retried after a failed attempt. Consulted only where another attempt
 * is safe: the dispatcher itself fails a request that must not be repeated once an attempt may have
 * executed.
 *
 * <p>Not thread-safe: owned by the dispatch duty. Times are monotonic nanoseconds of one clock.
 */
public interface RecoveryPolicy extends IsolationPolicy {
    /** What happens to the request after a failed attempt. */
    sealed interface Decision {
        /**
         * The request is placed again.
         *
         * @param notBeforeNanos earliest time of the next attempt
         * @param avoidedUpstreams upstreams that must not take the request
         * @param avoidedDomains failure domains to use only if no other can take the request
         */
        record Again(
                long notBeforeNanos,
                Set<UpstreamId> avoidedUpstreams,
                Set<FailureDomain> avoidedDomains)
                implements Decision {
            /** Copies the sets, so that the record is immutable. */
            public Again {
                avoidedUpstreams = Set.copyOf(avoidedUpstreams);
                avoidedDomains = Set.copyOf(avoidedDomains);
            }
        }

        /**
         * The request fails.
         *
         * @param failure the failure to report
         */
        record GiveUp(RequestFailure failure) implements Decision {}
    }

    /**
     * Returns the failure if a request must not run at all, for example because it crashed
     * upstreams before.
     */
    Optional<RequestFailure> refusal(WorkRequest request, long nowNanos);

    /** Records an admitted request, which may add to the retry budget. */
    void admitted(WorkRequest request, long nowNanos);

    /** Decides after an upstream refused an attempt, which therefore did not execute. */
    Decision refused(FailedAttempt attempt, AttemptEvent.RefusalReason reason, long nowNanos);

    /** Decides after an attempt of a repeatable request broke off. */
    Decision broken(FailedAttempt attempt, AttemptEvent.BreakCause how, long nowNanos);

    /** Records a complete answer. */
    void finished(WorkRequest request, AttemptId attempt, long nowNanos);
}
