package dev.kumquatweir.policy.placement;

/**
 * Limits that all instances share. Immutable.
 *
 * @param repeatRatio requests that may be sent again, as a share of first sends in the window
 * @param repeatExtra requests that may be sent again besides
 * @param repeatWindowMillis length of the window
 */
public record PlacementLimits(double repeatRatio, int repeatExtra, long repeatWindowMillis) {}
