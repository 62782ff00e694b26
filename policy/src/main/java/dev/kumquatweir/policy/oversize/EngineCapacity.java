package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;

/**
 * Total and free memory of an engine that is a candidate for part of a prompt. Immutable.
 *
 * @param upstream the engine
 * @param incarnation incarnation of the engine
 * @param domain failure domain of the engine
 * @param memoryTokens total memory, in tokens
 * @param freeTokens free memory, in tokens
 */
public record EngineCapacity(
        UpstreamId upstream,
        long incarnation,
        FailureDomain domain,
        long memoryTokens,
        long freeTokens) {}
