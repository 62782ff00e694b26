package dev.kumquatweir.policy.registry;

import dev.kumquatweir.core.identity.UpstreamId;

/**
 * Load of an upstream as it reports it, with a lag. Immutable.
 *
 * @param id the upstream
 * @param incarnation the start of the upstream that reports
 * @param sequence grows with each report of an incarnation
 * @param running requests in its batch
 * @param queued requests waiting
 * @param memoryUsedTokens KV cache memory in use, in tokens
 * @param prefillBacklogTokens prompt tokens accepted and not yet processed
 * @param cold whether it is in cold start
 */
public record LoadReport(
        UpstreamId id,
        long incarnation,
        long sequence,
        int running,
        int queued,
        long memoryUsedTokens,
        long prefillBacklogTokens,
        boolean cold) {}
