package dev.kumquatweir.policy.placement;

/**
 * Use of the retry budget of one service. Immutable.
 *
 * @param firstSends requests placed for the first time within the window
 * @param retries retries placed within the window
 * @param limit retries that the window allows
 */
public record RetryUsage(int firstSends, int retries, double limit) {}
