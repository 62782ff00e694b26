package dev.kumquatweir.policy.placement;

/**
 * Retry limits that apply to all instances together. Immutable.
 *
 * @param retryRatio allowed retries, as a share of the first sends within the window
 * @param additionalRetries retries allowed within the window in addition to that share
 * @param retryWindowMillis length of the sliding window
 */
public record PlacementLimits(double retryRatio, int additionalRetries, long retryWindowMillis) {}
