package dev.kumquatweir.policy.routing;

import java.util.List;

/**
 * The upstreams chosen for a request. Immutable.
 *
 * @param upstream the upstream that runs it
 * @param partners further engines that provide memory, in order of use
 * @param cachedTokens prompt tokens that the upstream probably has cached
 * @param waitingTokens prompt tokens that the upstream probably processes before those of the
 *     request
 * @param firstTokenNanos estimated time to the first token
 */
public record Placement(
        UpstreamLoad upstream,
        List<UpstreamLoad> partners,
        long cachedTokens,
        long waitingTokens,
        long firstTokenNanos) {

    /** Copies the list of partners. */
    public Placement {
        partners = List.copyOf(partners);
    }
}
