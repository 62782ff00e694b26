package dev.kumquatweir.policy.routing;

/**
 * Speed of one upstream as learned from its answers, by exponentially weighted means. Not
 * thread-safe.
 */
public final class LearnedRates {
    /** Time for one prompt token before anything was learned: 10,000 tokens per second. */
    public static final double PRIOR_PREFILL_NANOS = 100_000;

    /** Time between two tokens before anything was learned. */
    public static final double PRIOR_INTER_TOKEN_NANOS = 28_000_000;

    /** Time of one call of a plain service before anything was learned. */
    public static final double PRIOR_CALL_NANOS = 200_000_000;

    private static final double WEIGHT = 0.1;
    private static final int FULL_PREFILL_SAMPLE_TOKENS = 4_096;
    private static final double MAXIMUM_FACTOR = 8;

    private double mShortPrefillNanos = PRIOR_PREFILL_NANOS;
    private double mLongPrefillNanos = PRIOR_PREFILL_NANOS;
    private double mGapNanos = PRIOR_INTER_TOKEN_NANOS;
    private double mCallNanos = PRIOR_CALL_NANOS;
    private boolean mLearned;

    /** Takes over what other upstreams of the same service taught, until this one has answered. */
    public void seed(LearnedRates other) {
        if (!mLearned) {
            mShortPrefillNanos = other.mShortPrefillNanos;
            mLongPrefillNanos = other.mLongPrefillNanos;
            mGapNanos = other.mGapNanos;
            mCallNanos = other.mCallNanos;
        }
    }

    /**
     * Takes the time to first token of an attempt. Short prompts teach less, since fixed costs
     * dominate their time; a sample counts at most as {@value #MAXIMUM_FACTOR} times the mean, so
     * that one stall does not make an upstream look useless.
     *
     * @param length class of the prompt; attention makes each token of a long one dearer
     * @param tokens prompt tokens processed until then, those waiting before it included
     * @param nanos time since the start of the attempt
     */
    public void recordPrefill(LengthClass length, long tokens, long nanos) {
        if (tokens <= 0) {
            return;
        }
        double known = prefillNanos(length);
        double sample = Math.min((double) nanos / tokens, known * MAXIMUM_FACTOR);
        double weight = WEIGHT * Math.min(1, (double) tokens / FULL_PREFILL_SAMPLE_TOKENS);
        double mean = known + weight * (sample - known);
        if (length == LengthClass.SHORT) {
            mShortPrefillNanos = mean;
        } else {
            mLongPrefillNanos = mean;
        }
        mLearned = true;
    }

    /**
     * Takes the mean time between the tokens of an answer.
     *
     * @param tokens number of gaps
     * @param nanos time from the first token to the last
     */
    public void recordDecode(long tokens, long nanos) {
        if (tokens <= 0) {
            return;
        }
        double sample = Math.min((double) nanos / tokens, mGapNanos * MAXIMUM_FACTOR);
        mGapNanos += WEIGHT * (sample - mGapNanos);
        mLearned = true;
    }

    /** Takes the time of a call of a plain service. */
    public void recordCall(long nanos) {
        mCallNanos += WEIGHT * (Math.min((double) nanos, mCallNanos * MAXIMUM_FACTOR) - mCallNanos);
        mLearned = true;
    }

    /** Returns the time for one token of a prompt of a class. */
    public double prefillNanos(LengthClass length) {
        return length == LengthClass.SHORT ? mShortPrefillNanos : mLongPrefillNanos;
    }

    /** Returns the time between two tokens. */
    public double interTokenNanos() {
        return mGapNanos;
    }

    /** Returns the time of one call of a plain service. */
    public double callNanos() {
        return mCallNanos;
    }
}
