package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;

/**
 * Memory that one attempt of a split prompt needs on its engine. Immutable.
 *
 * @param upstream the engine
 * @param attempt the attempt on this engine
 * @param tokens memory in tokens
 */
public record MemoryPart(UpstreamId upstream, AttemptId attempt, long tokens) {}
