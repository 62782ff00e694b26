package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.InstanceId;

/**
 * Names one placement. An instance that sends a request to a second upstream asks for a second one.
 *
 * @param owner instance that serves the caller
 * @param number not used twice by one life of the owner
 */
public record PlacementKey(InstanceId owner, long number) {}
