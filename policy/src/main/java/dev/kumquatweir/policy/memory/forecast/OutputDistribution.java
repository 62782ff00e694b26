package dev.kumquatweir.policy.memory.forecast;

import java.util.Arrays;

/**
 * Distribution of the output tokens of one request, as a number of lengths with probabilities.
 * Immutable.
 */
final class OutputDistribution {
    /** Ends of the intervals of probability; finer where lengths are far from the median. */
    private static final double[] BOUNDS = {0, 0.1, 0.3, 0.5, 0.7, 0.85, 0.95, 0.99, 0.999, 1};

    /** Once an answer is longer than all lengths, it is expected to grow by this share again. */
    private static final double EXCESS_GROWTH = 0.5;

    private final double[] mTokens;
    private final double mLimitTokens;
    private final double mCommonShare;

    private OutputDistribution(double[] tokens, double limitTokens, double commonShare) {
        mTokens = tokens;
        mLimitTokens = limitTokens;
        mCommonShare = commonShare;
    }

    /** Expected value and variance of a number of tokens. */
    record Moments(double mean, double variance) {}

    static OutputDistribution of(OutputQuantiles quantiles, ExpectedOutput output) {
        double[] tokens = new double[BOUNDS.length - 1];
        Arrays.setAll(
                tokens,
                index -> quantiles.outputTokensAt(output, (BOUNDS[index] + BOUNDS[index + 1]) / 2));
        double limit = output.limitTokens() > 0 ? output.limitTokens() : Double.POSITIVE_INFINITY;
        return new OutputDistribution(tokens, limit, quantiles.commonShare(output));
    }

    /** Returns the share of the variance that does not average out over requests. */
    double commonShare() {
        return mCommonShare;
    }

    /** Returns the most tokens that are allowed, infinity if no limit is known. */
    double limitTokens() {
        return mLimitTokens;
    }

    /** Returns the moments of the final length of an answer that is longer than a length. */
    Moments longerThan(double generatedTokens) {
        double weight = 0;
        double sum = 0;
        double squares = 0;
        for (int index = 0; index < mTokens.length; index++) {
            if (mTokens[index] > generatedTokens) {
                double probability = BOUNDS[index + 1] - BOUNDS[index];
                weight += probability;
                sum += probability * mTokens[index];
                squares += probability * mTokens[index] * mTokens[index];
            }
        }
        if (weight == 0) {
            double growth = EXCESS_GROWTH * generatedTokens;
            double longest = Math.min(mLimitTokens, generatedTokens + 2 * growth);
            double mean = Math.min(longest, generatedTokens + growth);
            return new Moments(mean, (longest - mean) * (longest - mean));
        }
        double mean = sum / weight;
        return new Moments(mean, Math.max(0, squares / weight - mean * mean));
    }
}
