package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The requirements of a request to place. Immutable.
 *
 * @param service the service whose upstreams may take it
 * @param model model to run, null for a plain service
 * @param length length class of the prompt
 * @param prefillTokens prompt tokens and, on resumption, tokens that the caller already has
 * @param outputTokens maximum number of tokens still to generate
 * @param expectedOutputTokens expected number of tokens still to generate
 * @param prefixHashes chained hashes of the prompt's blocks
 * @param split whether it may be split over several engines
 * @param avoidedUpstreams upstreams that must not take it
 * @param avoidedDomains failure domains that may take it only if no other can
 */
public record PlacementQuery(
        ServiceName service,
        @Nullable ModelName model,
        LengthClass length,
        long prefillTokens,
        long outputTokens,
        long expectedOutputTokens,
        List<Long> prefixHashes,
        boolean split,
        Set<UpstreamId> avoidedUpstreams,
        Set<FailureDomain> avoidedDomains) {

    /** Returns the maximum KV cache memory of the request, in tokens. */
    public long memoryTokens() {
        return prefillTokens + outputTokens;
    }
}
