package dev.kumquatweir.policy.registry;

/**
 * What an upstream bears while it is cold, summed over all instances. Immutable.
 *
 * @param requests running requests
 * @param prefillTokens prompt tokens not yet processed
 */
public record ColdLimit(int requests, long prefillTokens) {}
