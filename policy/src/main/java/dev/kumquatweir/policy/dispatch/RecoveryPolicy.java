package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.Optional;
import java.util.Set;

/**
 * Decides what happens after an attempt failed. The dispatcher asks only where another attempt is
 * safe: it fails a request that may not be repeated by itself once an attempt may have run.
 *
 * <p>Not thread-safe: owned by the dispatch duty. Times are monotonic nanoseconds of one clock.
 */
public interface RecoveryPolicy extends RunGuard {
    /** What happens to the request. */
    sealed interface Decision {
        /**
         * It is placed again.
         *
         * @param notBeforeNanos earliest time of the next attempt
         * @param avoidedUpstreams upstreams that may not take it
         * @param avoidedDomains failure domains that take it only if no other can
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
         * It fails.
         *
         * @param failure why
         */
        record GiveUp(RequestFailure failure) implements Decision {}
    }

    /** Returns why a request may not run at all, for example since it crashed upstreams before. */
    Optional<RequestFailure> refusal(WorkRequest request, long nowNanos);

    /** Takes note of an admitted request, which earns budget for retries. */
    void admitted(WorkRequest request, long nowNanos);

    /** Decides after an upstream did not take an attempt; it is proved that it did not run. */
    Decision refused(FailedAttempt attempt, AttemptEvent.RefusalReason reason, long nowNanos);

    /** Decides after an attempt of repeatable work broke off. */
    Decision broken(FailedAttempt attempt, AttemptEvent.BreakCause how, long nowNanos);

    /** Takes note of a whole answer. */
    void finished(WorkRequest request, AttemptId attempt, long nowNanos);
}
