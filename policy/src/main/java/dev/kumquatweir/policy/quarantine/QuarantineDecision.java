package dev.kumquatweir.policy.quarantine;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.Set;

/** How a request may run. Implementations are immutable. */
public sealed interface QuarantineDecision {
    /** The request is not suspected. */
    record RunUnrestricted() implements QuarantineDecision {}

    /**
     * The request is a suspect: run it on an upstream that runs nothing else, report this with
     * {@link Quarantine#attemptStartedAlone}, and acquire a permit for its {@code SuspectRun}
     * first.
     *
     * @param avoidedUpstreams upstreams that it may have crashed
     */
    record RunAlone(Set<UpstreamId> avoidedUpstreams) implements QuarantineDecision {
        /** Copies the set, so that the record is immutable. */
        public RunAlone {
            avoidedUpstreams = Set.copyOf(avoidedUpstreams);
        }
    }

    /**
     * Decide again later: other suspects run first, or a crash is not confirmed yet.
     *
     * @param recheckAtNanos when to decide again
     */
    record Wait(long recheckAtNanos) implements QuarantineDecision {}

    /**
     * The request is refused until its mark expires.
     *
     * @param failure the failure to report to the caller
     */
    record Refuse(RequestFailure.Quarantined failure) implements QuarantineDecision {}
}
