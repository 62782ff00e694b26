package dev.kumquatweir.policy.quarantine;

import dev.kumquatweir.core.identity.FailureDomain;
import java.util.Set;

/** Assumed cause of the termination of an upstream. Implementations are immutable. */
public sealed interface TerminationVerdict {
    /** The upstream had announced its shutdown. */
    record Planned() implements TerminationVerdict {}

    /**
     * Several upstreams of the failure domain terminated at about the same time.
     *
     * @param domain the failure domain
     * @param upstreams number of terminated upstreams
     */
    record DomainLoss(FailureDomain domain, int upstreams) implements TerminationVerdict {}

    /**
     * One of the requests that ran on the upstream may have crashed it.
     *
     * @param contentHashes content hashes of the requests that this instance ran on it
     */
    record RequestsSuspected(Set<String> contentHashes) implements TerminationVerdict {
        /** Copies the set, so that the record is immutable. */
        public RequestsSuspected {
            contentHashes = Set.copyOf(contentHashes);
        }
    }
}
