package dev.kumquatweir.core.configuration;

/**
 * Service-level objective of a profile. Immutable.
 *
 * @param inTimeShare share of admitted requests that finish in their time, 0 to 1
 * @param firstTokenMillis bound on the time to first token, 0 for none
 * @param firstTokenShare share of requests that must meet that bound, 0 to 1
 */
public record ServiceLevelObjective(
        double inTimeShare, long firstTokenMillis, double firstTokenShare) {
    /** Objective used where a profile states none. */
    public static final ServiceLevelObjective DEFAULT = new ServiceLevelObjective(0.999, 860, 0.95);
}
