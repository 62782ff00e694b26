package dev.kumquatweir.policy.routing;

/**
 * Processing rates of one upstream, learned from its answers as exponentially weighted means. Not
 * thread-safe.
 */
public final class LearnedRates {
    /** Initial prefill time per prompt token: 10,000 tokens per second. */
    public static final double PRIOR_PREFILL_NANOS = 100_000;

    /** Initial inter-token latency. */
    public static final double PRIOR_INTER_TOKEN_NANOS = 28_000_000;

    /** Initial duration of a call of a plain service. */
    public static final double PRIOR_CALL_NANOS = 200_000_000;

    private static final double SAMPLE_WEIGHT = 0.1;
    private static final int FULL_PREFILL_SAMPLE_TOKENS = 4_096;
    private static final double MAXIMUM_FACTOR = 8;

    private double mShortPrefillNanos = PRIOR_PREFILL_NANOS;
    private double mLongPrefillNanos = PRIOR_PREFILL_NANOS;
    private double mInterTokenNanos = PRIOR_INTER_TOKEN_NANOS;
    private double mCallNanos = PRIOR_CALL_NANOS;
    private boolean mLearned;

    /**
     * Copies the rates of another upstream of the same service, unless this one has samples of its
     * own.
     */
    public void seed(LearnedRates other) {
        if (!mLearned) {
            mShortPrefillNanos = other.mShortPrefillNanos;
            mLongPrefillNanos = other.mLongPrefillNanos;
            mInterTokenNanos = other.mInterTokenNanos;
            mCallNanos = other.mCallNanos;
        }
    }

    /**
     * Records the time to first token of an attempt. Short prompts have less weight, since fixed
     * costs dominate their time. A sample is capped at {@value #MAXIMUM_FACTOR} times the mean, so
     * that one stall does not make an upstream look unusable.
     *
     * @param length class of the prompt; attention makes each token of a long prompt more expensive
     * @param tokens prompt tokens processed until then, including those queued before it
     * @param nanos time since the start of the attempt
     */
    public void recordPrefill(LengthClass length, long tokens, long nanos) {
        if (tokens <= 0) {
            return;
        }
        double known = prefillNanos(length);
        double sample = Math.min((double) nanos / tokens, known * MAXIMUM_FACTOR);
        double weight = SAMPLE_WEIGHT * Math.min(1, (double) tokens / FULL_PREFILL_SAMPLE_TOKENS);
        double mean = known + weight * (sample - known);
        if (length == LengthClass.SHORT) {
            mShortPrefillNanos = mean;
        } else {
            mLongPrefillNanos = mean;
        }
        mLearned = true;
    }

    /**
     * Records the mean inter-token latency of an answer.
     *
     * @param tokens number of intervals
     * @param nanos time from the first token to the last
     */
    public void recordDecode(long tokens, long nanos) {
        if (tokens <= 0) {
            return;
        }
        double sample = Math.min((double) nanos / tokens, mInterTokenNanos * MAXIMUM_FACTOR);
        mInterTokenNanos += SAMPLE_WEIGHT * (sample - mInterTokenNanos);
        mLearned = true;
    }

    /** Records the duration of a call of a plain service. */
    public void recordCall(long nanos) {
        mCallNanos +=
                SAMPLE_WEIGHT
                        * (Math.min((double) nanos, mCallNanos * MAXIMUM_FACTOR) - mCallNanos);
        mLearned = true;
    }

    /** Returns the prefill time per token for prompts of a class, in nanoseconds. */
    public double prefillNanos(LengthClass length) {
        return length == LengthClass.SHORT ? mShortPrefillNanos : mLongPrefillNanos;
    }

    /** Returns the inter-token latency, in nanoseconds. */
    public double interTokenNanos() {
        return mInterTokenNanos;
    }

    /** Returns the duration of a call of a plain service, in nanoseconds. */
    public double callNanos() {
        return mCallNanos;
    }
}
