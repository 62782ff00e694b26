package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.UpstreamId;

/** Result of a request to reserve memory. Implementations are immutable. */
public sealed interface ReserveDecision {
    /** All requested memory is reserved. */
    record Reserved() implements ReserveDecision {}

    /**
     * Nothing is reserved, because an engine has too little free memory.
     *
     * @param upstream the first engine with too little free memory
     * @param freeTokens free memory of this engine, in tokens
     */
    record InsufficientMemory(UpstreamId upstream, long freeTokens) implements ReserveDecision {}
}
