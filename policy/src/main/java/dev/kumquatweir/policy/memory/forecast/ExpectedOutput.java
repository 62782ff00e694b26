package dev.kumquatweir.policy.memory.forecast;

/**
 * What is known of the length of an answer before it is generated. Immutable.
 *
 * @param route name of the route, empty if it is not known
 * @param expectedTokens expected output tokens
 * @param limitTokens most output tokens that the caller allows, 0 if it names no limit
 * @param hintTokens the caller's own estimate, 0 if it gives none
 */
public record ExpectedOutput(String route, long expectedTokens, long limitTokens, long hintTokens) {
    /** Returns the estimate that lengths are compared with; at least 1. */
    double baseTokens() {
        return (double) Math.max(1, hintTokens > 0 ? hintTokens : expectedTokens);
    }

    /** Returns the given length, at most the limit that the caller allows. */
    double limited(double tokens) {
        return limitTokens > 0 ? Math.min((double) limitTokens, tokens) : tokens;
    }
}
