package dev.kumquatweir.policy.quarantine;

import dev.kumquatweir.core.identity.UpstreamId;

/**
 * Identifies one incarnation of an upstream, and thereby its termination, since an incarnation
 * terminates only once. Immutable.
 *
 * @param upstream the upstream
 * @param incarnation number of the incarnation
 */
public record UpstreamIncarnation(UpstreamId upstream, long incarnation) {}
