package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.UpstreamId;

/**
 * A limit that an upstream names. Immutable.
 *
 * @param perSecond requests per second that it takes from all instances together
 * @param heardNanos when it was heard, or the request whose response names it was sent
 */
public record UpstreamLimit(UpstreamId upstream, double perSecond, long heardNanos) {}
