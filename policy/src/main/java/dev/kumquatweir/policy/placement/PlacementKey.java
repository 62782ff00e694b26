package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.InstanceId;

/**
 * Identifies one placement. An instance that sends a request to a second upstream, such as for a
 * retry, requests a second placement.
 *
 * @param owner instance that serves the caller
 * @param number unique among the placements of one incarnation of the owner
 */
public record PlacementKey(InstanceId owner, long number) {}
