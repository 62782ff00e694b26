package dev.kumquatweir.policy.placement;

/** A decision on one placement. */
public sealed interface PlacementAction {
    /** Returns the placement. */
    PlacementKey key();

    /**
     * The request is sent to an upstream.
     *
     * @param grant where
     */
    record Grant(PlacementKey key, PlacementGrant grant) implements PlacementAction {}

    /**
     * The request gets no upstream.
     *
     * @param reason why
     * @param retryAfterMillis when the caller may sensibly come back
     */
    record Reject(PlacementKey key, PlacementRefusal reason, long retryAfterMillis)
            implements PlacementAction {}
}
