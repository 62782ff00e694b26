package dev.kumquatweir.policy.model;

import dev.kumquatweir.core.identity.ProfileName;

/**
 * What one profile needs of one variant, as the requests of the last minutes show. Immutable.
 *
 * @param profile the profile
 * @param variant what it runs
 * @param prefillTokensPerSecond uncached prompt tokens
 * @param decodeTokensPerSecond generated tokens
 */
public record ModelDemand(
        ProfileName profile,
        ModelVariant variant,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond) {}
