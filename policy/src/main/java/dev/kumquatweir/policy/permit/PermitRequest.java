package dev.kumquatweir.policy.permit;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.List;

/**
 * Renewal of all permits of an instance, sent with the renewal of its lease. A claim that is not
 * listed is released. Immutable.
 *
 * @param holder the instance
 * @param holderIncarnation incarnation of the instance; increases with each start
 * @param sequence sequence number; increases with each request of an incarnation
 * @param claims all claims that the instance holds or waits for
 * @param evidence first-token counts observed since its last request
 */
public record PermitRequest(
        InstanceId holder,
        long holderIncarnation,
        long sequence,
        List<PermitClaim> claims,
        List<FirstTokenEvidence> evidence) {
    /** Copies the lists, so that the record is immutable. */
    public PermitRequest {
        claims = List.copyOf(claims);
        evidence = List.copyOf(evidence);
    }
}
