package dev.kumquatweir.policy.memory.forecast;

/** Quantiles of the standard normal distribution. */
final class NormalQuantile {
    private static final double LOWEST = -8;
    private static final double HIGHEST = 8;
    private static final int HALVINGS = 50;

    /** Most terms of the series; enough for all digits of a double within the range. */
    private static final int MAXIMUM_TERMS = 200;

    private NormalQuantile() {}

    /** Returns the quantile of a probability above 0 and below 1, from -8 to 8. */
    static double of(double probability) {
        double low = LOWEST;
        double high = HIGHEST;
        for (int halving = 0; halving < HALVINGS; halving++) {
            double middle = (low + high) / 2;
            if (cumulative(middle) < probability) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return (low + high) / 2;
    }

    /** Returns the probability of a value up to the given one, by Marsaglia's series (2004). */
    private static double cumulative(double value) {
        double sum = value;
        double term = value;
        for (int count = 1; count < MAXIMUM_TERMS; count++) {
            term *= value * value / (2 * count + 1);
            sum += term;
        }
        return 0.5 + sum * Math.exp(-value * value / 2) / Math.sqrt(2 * Math.PI);
    }
}
