package dev.kumquatweir.policy.quarantine;

import dev.kumquatweir.core.identity.FailureDomain;
import java.util.Set;

/** Why an upstream is taken to have died. Implementations are immutable. */
public sealed interface TerminationVerdict {
    /** It had said that it leaves. */
    record Planned() implements TerminationVerdict {}

    /**
     * Several upstreams of its failure domain died with it.
     *
     * @param domain the failure domain
     * @param upstreams how many died
     */
    record DomainLoss(FailureDomain domain, int upstreams) implements TerminationVerdict {}

    /**
     * One of the requests that ran on it may be the cause.
     *
     * @param contentHashes the requests that ran on it, as far as this instance knows
     */
    record RequestsSuspected(Set<String> contentHashes) implements TerminationVerdict {
        /** Copies the set, so that the record is immutable. */
        public RequestsSuspected {
            contentHashes = Set.copyOf(contentHashes);
        }
    }
}
