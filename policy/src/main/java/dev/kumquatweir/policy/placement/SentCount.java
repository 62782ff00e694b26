package dev.kumquatweir.policy.placement;

/**
 * Requests that an instance sent to the upstreams of a service within a short span. Immutable.
 *
 * @param ageMillis time since the beginning of the span
 * @param firstSends requests sent for the first time
 * @param retries retries
 */
public record SentCount(long ageMillis, int firstSends, int retries) {}
