package dev.kumquatweir.policy.memory.forecast;

import java.util.HashMap;
import java.util.Map;

/**
 * Log-normal distributions of output lengths, learned from complete answers for each route. Lengths
 * are learned as multiples of the caller's hint or, without one, of the expected length. Bounded
 * memory; not thread-safe.
 */
public final class LearnedOutputs implements OutputQuantiles {
    /** Further routes share one distribution. */
    private static final int MAXIMUM_ROUTES = 64;

    private static final String OTHER_ROUTES = "";

    /**
     * Spread of the logarithm before any answer: one in a hundred answers is longer than ten times
     * its estimate.
     */
    private static final double INITIAL_SPREAD = 1;

    /** Number of answers after which observations count as much as the initial spread. */
    private static final double INITIAL_WEIGHT = 10;

    /** Number of answers that are remembered; earlier ones fade. */
    private static final double MAXIMUM_WEIGHT = 200;

    /** Largest number of confidences whose deviations are kept. */
    private static final int MAXIMUM_CONFIDENCES = 64;

    private final Map<String, RouteLengths> mRoutes = new HashMap<>();
    private final Map<Double, Double> mDeviations = new HashMap<>();

    /** Logarithms of observed lengths over their estimates, with fading weights. */
    private static final class RouteLengths {
        private double mWeight;
        private double mMean;
        private double mSquares;

        void record(double logRatio) {
            double kept = Math.min(1, (MAXIMUM_WEIGHT - 1) / Math.max(1, mWeight));
            mWeight = mWeight * kept + 1;
            double difference = logRatio - mMean;
            mMean += difference / mWeight;
            mSquares = mSquares * kept + difference * (logRatio - mMean);
        }

        double spread() {
            double initial = INITIAL_WEIGHT * INITIAL_SPREAD * INITIAL_SPREAD;
            double variance = (initial + mSquares) / (INITIAL_WEIGHT + mWeight);
            // The mean of few answers is uncertain itself.
            return Math.sqrt(mWeight > 0 ? variance * (1 + 1 / (1 + mWeight)) : variance);
        }
    }

    /**
     * Records the length of a complete answer.
     *
     * @param outputTokens generated tokens; ignored unless positive
     */
    public void recordAnswer(ExpectedOutput output, long outputTokens) {
        if (outputTokens > 0) {
            String route =
                    mRoutes.size() < MAXIMUM_ROUTES || mRoutes.containsKey(output.route())
                            ? output.route()
                            : OTHER_ROUTES;
            mRoutes.computeIfAbsent(route, name -> new RouteLengths())
                    .record(Math.log(outputTokens / output.baseTokens()));
        }
    }

    @Override
    public double outputTokensAt(ExpectedOutput output, double confidence) {
        RouteLengths lengths = lengths(output);
        double logRatio = lengths.mMean + lengths.spread() * deviations(confidence);
        return output.limited(output.baseTokens() * Math.exp(logRatio));
    }

    @Override
    public double commonShare(ExpectedOutput output) {
        return 1 / (1 + lengths(output).mWeight);
    }

    private double deviations(double confidence) {
        return mDeviations.size() < MAXIMUM_CONFIDENCES
                ? mDeviations.computeIfAbsent(confidence, NormalQuantile::of)
                : NormalQuantile.of(confidence);
    }

    private RouteLengths lengths(ExpectedOutput output) {
        RouteLengths lengths = mRoutes.get(output.route());
        return lengths != null ? lengths : mRoutes.getOrDefault(OTHER_ROUTES, new RouteLengths());
    }
}
