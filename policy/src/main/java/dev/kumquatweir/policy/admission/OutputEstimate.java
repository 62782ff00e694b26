package dev.kumquatweir.policy.admission;

/**
 * Learns how much of the longest answer that callers allow is really generated. Callers often allow
 * far more than they get, and counting it in full would refuse work that ends in time. Not
 * thread-safe.
 */
public final class OutputEstimate {
    private static final double PRIOR_SHARE = 0.5;
    private static final double WEIGHT = 0.02;
    private static final double DEVIATIONS = 2;

    private double mShare = PRIOR_SHARE;
    private double mDeviation;

    /** Takes the length of a complete answer. */
    public void observe(long outputTokens, long maximumTokens) {
        if (maximumTokens <= 0) {
            return;
        }
        double share = Math.min(1, (double) outputTokens / maximumTokens);
        mDeviation += WEIGHT * (Math.abs(share - mShare) - mDeviation);
        mShare += WEIGHT * (share - mShare);
    }

    /** Returns the mean length of an answer. */
    public long expected(long maximumTokens) {
        return Math.round(mShare * maximumTokens);
    }

    /** Returns a length that few answers exceed. */
    public long upperEstimate(long maximumTokens) {
        double share = Math.min(1, mShare + DEVIATIONS * mDeviation);
        return (long) Math.ceil(share * maximumTokens);
    }
}
