package dev.kumquatweir.policy.registry;

import dev.kumquatweir.core.identity.UpstreamId;

/**
 * Load reported by an upstream. It lags behind the actual load. Immutable.
 *
 * @param id the upstream
 * @param incarnation incarnation of the upstream that reports
 * @param sequence number that increases with each report of an incarnation
 * @param running requests in its batch
 * @param queued requests waiting in its queue
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
