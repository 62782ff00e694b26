package dev.kumquatweir.policy.permit;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.Set;

/**
 * The leader's answer to a {@link PermitRequest}. Claims of the request that are not listed are
 * refused, or not renewed if they were granted before. Immutable.
 *
 * @param holder the instance that sent the request
 * @param holderIncarnation incarnation of the holder
 * @param sequence sequence number of the request
 * @param granted names of the granted claims, valid for one lease from the time of the request
 */
public record PermitGrant(
        InstanceId holder, long holderIncarnation, long sequence, Set<String> granted) {
    /** Copies the set, so that the record is immutable. */
    public PermitGrant {
        granted = Set.copyOf(granted);
    }
}
