package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.ColdLimit;

/**
 * Divides the limit of each cold upstream evenly among the instances. The remainder goes to
 * different instances for different upstreams, so that each instance can use some cold upstream if
 * the limit is smaller than the number of instances. Immutable.
 *
 * @param instances number of instances, at least 1
 * @param ordinal index of this instance among them, from 0
 */
public record LocalColdAllowance(int instances, int ordinal) implements ColdAllowance {
    /** Validates that the ordinal is below the number of instances. */
    public LocalColdAllowance {
        if (instances < 1 || ordinal < 0 || ordinal >= instances) {
            throw new IllegalArgumentException(
                    "ordinal " + ordinal + " must be from 0 to below instances " + instances);
        }
    }

    @Override
    public ColdLimit granted(
            UpstreamId upstream, long incarnation, ColdLimit limit, long nowNanos) {
        int turn = Math.floorMod(ordinal + upstream.value().hashCode(), instances);
        int requests = limit.requests() / instances + (turn < limit.requests() % instances ? 1 : 0);
        if (requests == 0) {
            return new ColdLimit(0, 0);
        }
        int holders = Math.min(instances, limit.requests());
        return new ColdLimit(requests, limit.prefillTokens() / holders);
    }

    @Override
    public void reportUse(
            UpstreamId upstream,
            long incarnation,
            ColdLimit held,
            ColdLimit wanted,
            long nowNanos) {
        // The shares are fixed and do not depend on use.
    }
}
