package dev.kumquatweir.policy.permit;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.List;

/**
 * Renewal of an instance's permits, carried by the renewal of its lease. A claim that is not listed
 * is given back. Immutable.
 *
 * @param holder the instance
 * @param holderIncarnation grows with each start of the instance
 * @param sequence grows with each request of an incarnation
 * @param claims all that the instance holds or wants
 * @param evidence what it saw of cold upstreams since its last request
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
