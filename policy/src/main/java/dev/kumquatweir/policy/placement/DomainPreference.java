package dev.kumquatweir.policy.placement;

import dev.kumquatweir.policy.locality.DomainCapacity;

/** The term of a placement's score for crossing between failure domains. Stateless. */
final class DomainPreference {
    /**
     * Smaller than the packing weight, so that it decides only among busy engines. Keeps streams
     * off lossy or metered links between failure domains, where a lost packet delays its event by
     * 200 ms. Used while domains are not balanced.
     */
    private static final double SAME_DOMAIN_WEIGHT = 0.04;

    private DomainPreference() {}

    /** Returns the term as a share of the request's value. */
    static double score(PlacementRequest request, PlacementUpstream primary) {
        DomainCapacity capacity = primary.domainCapacity();
        if (capacity != null) {
            return -capacity.price(request.domain(), request.targetGapMillis());
        }
        return primary.sharesDomain(request) ? SAME_DOMAIN_WEIGHT : 0;
    }
}
