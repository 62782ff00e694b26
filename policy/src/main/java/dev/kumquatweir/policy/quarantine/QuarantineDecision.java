package dev.kumquatweir.policy.quarantine;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.Set;

/** How a request may run. Implementations are immutable. */
public sealed interface QuarantineDecision {
    /** Nothing is held against it. */
    record RunUnrestricted() implements QuarantineDecision {}

    /**
     * It is a suspect: run it on an upstream that runs nothing else, report that by {@link
     * Quarantine#attemptStartedAlone}, and take a permit for its {@code SuspectRun} first.
     *
     * @param avoidedUpstreams upstreams that may have died of it
     */
    record RunAlone(Set<UpstreamId> avoidedUpstreams) implements QuarantineDecision {
        /** Copies the set, so that the record is immutable. */
        public RunAlone {
            avoidedUpstreams = Set.copyOf(avoidedUpstreams);
        }
    }

    /**
     * Ask again later: other suspects run first, or a death is not confirmed yet.
     *
     * @param recheckAtNanos when to ask again
     */
    record Wait(long recheckAtNanos) implements QuarantineDecision {}

    /**
     * It is not run again until its mark expires.
     *
     * @param failure what its caller is told
     */
    record Refuse(RequestFailure.Quarantined failure) implements QuarantineDecision {}
}
