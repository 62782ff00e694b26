package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.identity.FailureDomain;

/**
 * Settings of {@link Router}. Immutable; made from {@link #of} and the {@code with} methods.
 *
 * @param ownDomain failure domain of this instance
 * @param strategy how short prompts are kept from waiting behind long ones
 * @param seed seed of the random choices, different for each instance
 * @param choices engines drawn at random for each decision, at least 1
 * @param crossDomainNanos cost of a request to another failure domain
 * @param affinity whether cache events are used
 */
public record RoutingOptions(
        FailureDomain ownDomain,
        LengthStrategy strategy,
        long seed,
        int choices,
        long crossDomainNanos,
        boolean affinity) {

    /** Returns the defaults: two choices, separation by length with borrowing. */
    public static RoutingOptions of(FailureDomain ownDomain, long seed) {
        return new RoutingOptions(
                ownDomain,
                new LengthStrategy.LengthSeparation(0.46, 32_768, 0.25),
                seed,
                2,
                2_000_000,
                true);
    }

    /** Returns a copy with another strategy. */
    public RoutingOptions withStrategy(LengthStrategy value) {
        return new RoutingOptions(ownDomain, value, seed, choices, crossDomainNanos, affinity);
    }

    /** Returns a copy with another number of random choices. */
    public RoutingOptions withChoices(int value) {
        return new RoutingOptions(ownDomain, strategy, seed, value, crossDomainNanos, affinity);
    }
}
