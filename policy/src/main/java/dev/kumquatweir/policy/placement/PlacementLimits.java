package dev.kumquatweir.policy.placement;

/**
 * Limits that all instances share. Immutable.
 *
 * @param retryRatio requests that may be sent again, as a share of first sends in the window
 * @param additionalRetries requests that may be sent again besides
 * @param retryWindowMillis length of the window
 */
public record PlacementLimits(double retryRatio, int additionalRetries, long retryWindowMillis) {}
