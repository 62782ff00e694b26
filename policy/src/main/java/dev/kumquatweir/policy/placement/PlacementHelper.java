package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.UpstreamId;

/**
 * An engine that reads a part of a prompt for another one.
 *
 * @param upstream the engine
 * @param address where it is reached, as {@code ip:port}
 * @param reservedTokens tokens of the prompt that it holds until the request ends; 0 if it only
 *     reads
 */
public record PlacementHelper(UpstreamId upstream, String address, long reservedTokens) {}
