package dev.kumquatweir.policy.quarantine;

import dev.kumquatweir.core.identity.UpstreamId;

/**
 * Message to other instances that a suspect runs alone on an upstream or is about to. Repeated
 * while that is the case. Immutable.
 *
 * @param upstream the upstream
 * @param incarnation its incarnation
 * @param contentHash content hash of the suspect
 * @param owner the instance that runs it
 * @param running whether the suspect runs; if not, the upstream finishes its other work first
 * @param remainingNanos time until the message expires unless it is repeated
 */
public record ExclusiveUse(
        UpstreamId upstream,
        long incarnation,
        String contentHash,
        String owner,
        boolean running,
        long remainingNanos) {}
