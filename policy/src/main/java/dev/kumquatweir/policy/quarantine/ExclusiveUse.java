package dev.kumquatweir.policy.quarantine;

import dev.kumquatweir.core.identity.UpstreamId;

/**
 * Tells other instances that a suspect runs alone on an upstream, or is about to; sent again while
 * it does. Immutable.
 *
 * @param upstream the upstream
 * @param incarnation its incarnation
 * @param contentHash hash of the suspect's content
 * @param owner the instance that runs it
 * @param running whether it runs; if not, the upstream is being emptied for it
 * @param remainingNanos time until the word expires unless it is repeated
 */
public record ExclusiveUse(
        UpstreamId upstream,
        long incarnation,
        String contentHash,
        String owner,
        boolean running,
        long remainingNanos) {}
