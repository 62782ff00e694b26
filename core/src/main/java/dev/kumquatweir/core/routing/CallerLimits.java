package dev.kumquatweir.core.routing;

/**
 * Bounds on what callers send. Immutable.
 *
 * @param bodyBytes largest body
 */
public record CallerLimits(long bodyBytes) {}
