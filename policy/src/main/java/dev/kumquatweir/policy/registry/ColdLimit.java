package dev.kumquatweir.policy.registry;

/**
 * Load limit of an upstream during cold start, for all instances together. Immutable.
 *
 * @param requests maximum running requests
 * @param prefillTokens maximum prompt tokens waiting for prefill
 */
public record ColdLimit(int requests, long prefillTokens) {}
