package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;

/**
 * Memory that an attempt needs on one engine. Immutable.
 *
 * @param upstream the engine
 * @param attempt the attempt there
 * @param tokens how much
 */
public record MemoryPart(UpstreamId upstream, AttemptId attempt, long tokens) {}
