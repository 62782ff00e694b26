package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;

/**
 * Memory of an engine that could take part of a prompt. Immutable.
 *
 * @param upstream the engine
 * @param incarnation its incarnation
 * @param domain its failure domain
 * @param memoryTokens its whole memory
 * @param freeTokens what is free now
 */
public record EngineCapacity(
        UpstreamId upstream,
        long incarnation,
        FailureDomain domain,
        long memoryTokens,
        long freeTokens) {}
