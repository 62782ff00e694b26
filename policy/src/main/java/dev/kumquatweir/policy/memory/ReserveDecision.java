package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.UpstreamId;

/** Whether memory was reserved. Implementations are immutable. */
public sealed interface ReserveDecision {
    /** All that was asked for is reserved. */
    record Reserved() implements ReserveDecision {}

    /**
     * Nothing is reserved.
     *
     * @param upstream the first engine without room
     * @param freeTokens what is free there
     */
    record InsufficientMemory(UpstreamId upstream, long freeTokens) implements ReserveDecision {}
}
