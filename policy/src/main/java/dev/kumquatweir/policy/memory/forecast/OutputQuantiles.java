package dev.kumquatweir.policy.memory.forecast;

/** Distribution of the length of answers. Implementations are not thread-safe. */
public interface OutputQuantiles {
    /**
     * Returns the number of output tokens that an answer does not exceed with a probability. Not
     * above the limit that the caller allows; does not fall when the confidence rises.
     *
     * @param confidence above 0 and below 1
     */
    double outputTokensAt(ExpectedOutput output, double confidence);

    /**
     * Returns the share of the variance that requests of the same route have in common since their
     * distribution is not known well, 0 to 1. It does not average out over requests.
     */
    default double commonShare(ExpectedOutput output) {
        return 0;
    }
}
