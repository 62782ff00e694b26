package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;

/**
 * Where a request is sent. Immutable.
 *
 * @param upstream the upstream that answers
 * @param address where it is reached, as {@code ip:port}
 * @param expectedMillis expected time from the grant to the answer or the first event
 * @param helpers engines that read parts of the prompt
 */
public record PlacementGrant(
        UpstreamId upstream, String address, long expectedMillis, List<PlacementHelper> helpers) {
    /** Copies the list. */
    public PlacementGrant {
        helpers = List.copyOf(helpers);
    }
}
