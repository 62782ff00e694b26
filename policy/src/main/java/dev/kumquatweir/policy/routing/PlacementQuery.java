package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * What has to be placed. Immutable.
 *
 * @param service the service whose upstreams may take it
 * @param model model to run, null for a plain service
 * @param length length class of the prompt
 * @param prefillTokens prompt tokens and, on resumption, tokens the caller already has
 * @param outputTokens largest number of tokens still to come
 * @param expectedOutputTokens number of tokens that are likely to come
 * @param prefixHashes chained hashes of the prompt's blocks
 * @param split whether it may be spread over several engines
 * @param avoidedUpstreams upstreams that may not take it
 * @param avoidedDomains failure domains that take it only if no other can
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

    /** Returns the memory that the request may need, in tokens. */
    public long memoryTokens() {
        return prefillTokens + outputTokens;
    }
}
