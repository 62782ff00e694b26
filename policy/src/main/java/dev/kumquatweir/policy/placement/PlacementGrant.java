package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;

/**
 * The upstreams assigned to a request. Immutable.
 *
 * @param upstream the upstream that answers
 * @param address its network address, as {@code ip:port}
 * @param expectedMillis expected time from the grant to the answer, or to the first event of a
 *     stream
 * @param helpers further engines that prefill parts of the prompt
 */
public record PlacementGrant(
        UpstreamId upstream, String address, long expectedMillis, List<PlacementHelper> helpers) {
    /** Copies the list. */
    public PlacementGrant {
        helpers = List.copyOf(helpers);
    }
}
