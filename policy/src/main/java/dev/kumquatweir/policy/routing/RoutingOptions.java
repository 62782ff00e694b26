package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.identity.FailureDomain;

/**
 * Options of {@link Router}. Immutable; created by {@link #of} and the {@code with} methods.
 *
 * @param ownDomain failure domain of this instance
 * @param strategy strategy against blocking of short prompts by long ones
 * @param seed seed of the random choices, different for each instance
 * @param choices number of random candidates per decision, at least 1
 * @param crossDomainNanos cost added for an upstream in another failure domain
 * @param affinity whether requests prefer engines that have their prefix cached
 */
public record RoutingOptions(
        FailureDomain ownDomain,
        LengthStrategy strategy,
        long seed,
        int choices,
        long crossDomainNanos,
        boolean affinity) {

    /**
     * Returns the defaults: two random candidates, separate engines by prompt length with
     * borrowing.
     */
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
