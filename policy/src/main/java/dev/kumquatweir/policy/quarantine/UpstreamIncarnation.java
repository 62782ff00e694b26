package dev.kumquatweir.policy.quarantine;

import dev.kumquatweir.core.identity.UpstreamId;

/**
 * Names one death of an upstream: an incarnation dies once. Immutable.
 *
 * @param upstream the upstream
 * @param incarnation the incarnation that died
 */
public record UpstreamIncarnation(UpstreamId upstream, long incarnation) {}
