package dev.kumquatweir.policy.placement;

/** A decision of {@link PlacementScheduler} on one placement. */
public sealed interface PlacementAction {
    /** Returns the key of the placement. */
    PlacementKey key();

    /**
     * The request is placed on an upstream.
     *
     * @param key key of the placement
     * @param grant the upstreams that process it
     */
    record Grant(PlacementKey key, PlacementGrant grant) implements PlacementAction {}

    /**
     * The request is rejected.
     *
     * @param key key of the placement
     * @param reason reason of the rejection
     * @param retryAfterMillis time after which the caller should retry
     */
    record Reject(PlacementKey key, PlacementRefusal reason, long retryAfterMillis)
            implements PlacementAction {}
}
