package dev.kumquatweir.program.permit;

import dev.kumquatweir.policy.permit.PermitGrant;
import dev.kumquatweir.policy.permit.PermitRequest;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** How an instance reaches the leader's ledger of shared limits. Thread-safe; never blocks. */
public interface PermitPort {
    /**
     * Sends a renewal to the instance that probably leads. Nothing is sent twice.
     *
     * @return completes with the decision or empty, never exceptionally, within 250 ms
     */
    CompletionStage<Optional<PermitGrant>> renew(PermitRequest request);

    /** Returns where this instance notes what upstreams say, in case it leads. */
    UpstreamObservations observations();
}
