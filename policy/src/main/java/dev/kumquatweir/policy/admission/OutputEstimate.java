package dev.kumquatweir.policy.admission;

/**
 * Learns which share of the allowed output length answers really use. Callers often allow far
 * longer answers than they get, and counting the full length would refuse requests that complete in
 * time. Not thread-safe.
 */
public final class OutputEstimate {
    private static final double PRIOR_SHARE = 0.5;
    private static final double SAMPLE_WEIGHT = 0.02;
    private static final double DEVIATIONS = 2;

    private double mShare = PRIOR_SHARE;
    private double mDeviation;

    /**
     * Records the length of a complete answer.
     *
     * @param outputTokens generated tokens
     * @param maximumTokens tokens that the caller allowed
     */
    public void observe(long outputTokens, long maximumTokens) {
        if (maximumTokens <= 0) {
            return;
        }
        double share = Math.min(1, (double) outputTokens / maximumTokens);
        mDeviation += SAMPLE_WEIGHT * (Math.abs(share - mShare) - mDeviation);
        mShare += SAMPLE_WEIGHT * (share - mShare);
    }

    /** Returns the expected length of an answer, in tokens. */
    public long expected(long maximumTokens) {
        return Math.round(mShare * maximumTokens);
    }

    /** Returns a length that few answers exceed, in tokens. */
    public long upperEstimate(long maximumTokens) {
        double share = Math.min(1, mShare + DEVIATIONS * mDeviation);
        return (long) Math.ceil(share * maximumTokens);
    }
}
