package dev.kumquatweir.standin.model;

/**
 * Load of an engine at one time. Immutable.
 *
 * @param running requests in the batch
 * @param queued requests waiting for the batch
 * @param memoryUsedTokens memory of accepted requests and exports; cached prefixes, which are
 *     evicted on demand, do not count
 * @param prefillBacklogTokens prompt tokens accepted and not yet processed
 * @param cold whether the engine says that it is cold
 */
public record EngineLoad(
        int running, int queued, long memoryUsedTokens, long prefillBacklogTokens, boolean cold) {}
