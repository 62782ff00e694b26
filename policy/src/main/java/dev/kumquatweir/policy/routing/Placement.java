package dev.kumquatweir.policy.routing;

import java.util.List;

/**
 * Where a request is to run. Immutable.
 *
 * @param upstream the upstream that runs it
 * @param partners further engines that lend memory, in order of use
 * @param cachedTokens prompt tokens that it probably has cached
 * @param waitingTokens prompt tokens that it probably processes before
 * @param firstTokenNanos estimated time to the first token
 */
public record Placement(
        UpstreamLoad upstream,
        List<UpstreamLoad> partners,
        long cachedTokens,
        long waitingTokens,
        long firstTokenNanos) {

    /** Copies the list, so that the record is immutable. */
    public Placement {
        partners = List.copyOf(partners);
    }
}
