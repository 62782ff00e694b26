package dev.kumquatweir.policy.permit;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.Set;

/**
 * The leader's answer to a {@link PermitRequest}. Claims of the request that are not listed are not
 * granted, or no longer. Immutable.
 *
 * @param holder the instance that asked
 * @param holderIncarnation its incarnation
 * @param sequence number of the request
 * @param granted names of the granted claims, valid for one lease from when the instance asked
 */
public record PermitGrant(
        InstanceId holder, long holderIncarnation, long sequence, Set<String> granted) {
    /** Copies the set, so that the record is immutable. */
    public PermitGrant {
        granted = Set.copyOf(granted);
    }
}
