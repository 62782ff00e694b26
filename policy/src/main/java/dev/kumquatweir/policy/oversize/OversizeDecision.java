package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.core.failure.RequestFailure;

/** Where a prompt can run. Implementations are immutable. */
public sealed interface OversizeDecision {
    /** One engine is enough. */
    record OneEngine() implements OversizeDecision {}

    /**
     * It is split over several engines.
     *
     * @param plan how
     * @param memoryAvailable whether all engines of the plan have the memory free now; if not, it
     *     waits in the order in which prompts asked
     */
    record Split(OversizePlan plan, boolean memoryAvailable) implements OversizeDecision {}

    /**
     * It can't run on these engines.
     *
     * @param failure why
     */
    record Refuse(RequestFailure failure) implements OversizeDecision {}
}
