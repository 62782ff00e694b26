package dev.kumquatweir.policy.quarantine;

import dev.kumquatweir.core.identity.UpstreamId;

/**
 * Tells other instances that a suspect runs alone on an upstream; sent again while it does.
 * Immutable.
 *
 * @param upstream the upstream
 * @param incarnation its incarnation
 * @param remainingNanos time until the word expires unless it is repeated
 */
public record ExclusiveUse(UpstreamId upstream, long incarnation, long remainingNanos) {}
