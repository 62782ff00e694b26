package dev.kumquatweir.program.permit;

import dev.kumquatweir.policy.permit.PermitGrant;
import dev.kumquatweir.policy.permit.PermitRequest;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Access to the permit ledger on the leader. Thread-safe; never blocks. */
public interface PermitPort {
    /**
     * Sends a renewal to the instance that is probably the leader. A lost renewal is not sent
     * again.
     *
     * @return completes within 250 ms with the decision or empty, never exceptionally
     */
    CompletionStage<Optional<PermitGrant>> renew(PermitRequest request);

    /**
     * Returns the store for reports of upstreams, from which this instance derives limits if it
     * becomes the leader.
     */
    UpstreamObservations observations();
}
