package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.UpstreamId;

/**
 * An engine that prefills a part of a prompt for the primary engine.
 *
 * @param upstream the engine
 * @param address its network address, as {@code ip:port}
 * @param reservedTokens KV cache tokens that it stores until the request ends; 0 if it only
 *     prefills
 */
public record PlacementHelper(UpstreamId upstream, String address, long reservedTokens) {}
