package dev.kumquatweir.core.configuration;

/**
 * Service-level objective of a profile. Immutable.
 *
 * @param inTimeShare share of admitted requests that must finish within their time limit, 0 to 1
 * @param firstTokenMillis target for the time to first token, 0 for none
 * @param firstTokenShare share of requests that must meet that target, 0 to 1
 */
public record ServiceLevelObjective(
        double inTimeShare, long firstTokenMillis, double firstTokenShare) {
    /** Objective of profiles that set none. */
    public static final ServiceLevelObjective DEFAULT = new ServiceLevelObjective(0.999, 860, 0.95);
}
