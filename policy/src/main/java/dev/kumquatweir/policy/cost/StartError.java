package dev.kumquatweir.policy.cost;

/**
 * Distribution of the error of the expected time of a first event: how much later than expected it
 * arrives. Lookups do not allocate, since a placement decision makes one for each engine.
 */
public final class StartError {
    /**
     * Errors with the probability at the same index of {@link #DEFAULT_PROBABILITIES} to be
     * exceeded, for first events that are expected after about 200 ms.
     */
    private static final double[] DEFAULT_ERRORS_MILLIS = {-40, 10, 62, 98, 211, 400};

    private static final double[] DEFAULT_PROBABILITIES = {1, 0.5, 0.1, 0.05, 0.01, 0};

    /** Expected time up to which the error does not depend on it. */
    private static final double REFERENCE_MILLIS = 250;

    private static final StartError EXACT =
            new StartError(new double[] {-1e-9, 0}, new double[] {1, 0});

    private final double[] mErrorsMillis;
    private final double[] mProbabilities;

    /** Returns the distribution that is used while none is learned. */
    public static StartError defaultDistribution() {
        return new StartError(DEFAULT_ERRORS_MILLIS, DEFAULT_PROBABILITIES);
    }

    /** Returns the distribution of estimates that are always right. */
    public static StartError exact() {
        return EXACT;
    }

    private StartError(double[] errorsMillis, double[] probabilities) {
        mErrorsMillis = errorsMillis;
        mProbabilities = probabilities;
    }

    /**
     * Returns the probability that a first event is late.
     *
     * @param expectedMillis expected time until the first event
     * @param marginMillis time from the expected first event to the target, negative if the target
     *     is earlier
     */
    public double probabilityLate(double expectedMillis, double marginMillis) {
        double scaled = marginMillis / scale(expectedMillis);
        if (scaled <= mErrorsMillis[0]) {
            return 1;
        }
        for (int index = 1; index < mErrorsMillis.length; index++) {
            double upper = mErrorsMillis[index];
            if (scaled < upper) {
                double lower = mErrorsMillis[index - 1];
                double position = (scaled - lower) / (upper - lower);
                double atLower = mProbabilities[index - 1];
                return atLower + position * (mProbabilities[index] - atLower);
            }
        }
        return 0;
    }

    /**
     * Returns the factor by which errors grow with the expected time: its square root, as a long
     * wait is the sum of several passes whose errors are independent.
     */
    private static double scale(double expectedMillis) {
        return expectedMillis <= REFERENCE_MILLIS
                ? 1
                : Math.sqrt(expectedMillis / REFERENCE_MILLIS);
    }
}
