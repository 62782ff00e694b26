package dev.kumquatweir.bench.load;

import org.jspecify.annotations.Nullable;

/**
 * Prompts of similar length. Immutable.
 *
 * @param name name in the report
 * @param minTokens shortest prompt in tokens
 * @param maxTokens longest prompt in tokens; lengths are spread evenly by their logarithm
 * @param weight share of the requests, relative to the other classes
 * @param outputTokens longest answer in tokens
 * @param timeLimitMillis time in which each request must have ended
 * @param profile profile to ask for, null to leave it to the team's default
 * @param measuresSlowdown whether the report has the slowdown of this class
 */
public record LengthClass(
        String name,
        long minTokens,
        long maxTokens,
        double weight,
        long outputTokens,
        long timeLimitMillis,
        @Nullable String profile,
        boolean measuresSlowdown) {

    /** Checks that lengths, weight and limit make sense. */
    public LengthClass {
        boolean valid =
                minTokens > 0
                        && maxTokens >= minTokens
                        && weight > 0
                        && outputTokens > 0
                        && timeLimitMillis > 0;
        if (!valid) {
            throw new IllegalArgumentException("length class " + name + " is out of range");
        }
    }
}
