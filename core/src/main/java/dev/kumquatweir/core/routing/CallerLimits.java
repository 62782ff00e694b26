package dev.kumquatweir.core.routing;

/**
 * Limits on the requests of callers. Immutable.
 *
 * @param maximumBodyBytes largest request body
 */
public record CallerLimits(long maximumBodyBytes) {}
