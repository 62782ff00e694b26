package dev.kumquatweir.core.routing;

/**
 * Bounds on what callers send. Immutable.
 *
 * @param maximumBodyBytes largest body
 */
public record CallerLimits(long maximumBodyBytes) {}
