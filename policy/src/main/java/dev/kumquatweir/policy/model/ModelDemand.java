package dev.kumquatweir.policy.model;

import dev.kumquatweir.core.identity.ProfileName;

/**
 * Demand of one profile for one variant, measured over the last minutes. Immutable.
 *
 * @param profile the profile
 * @param variant the variant that its requests use
 * @param prefillTokensPerSecond uncached prompt tokens per second
 * @param decodeTokensPerSecond generated tokens per second
 */
public record ModelDemand(
        ProfileName profile,
        ModelVariant variant,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond) {}
