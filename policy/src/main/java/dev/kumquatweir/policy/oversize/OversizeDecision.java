package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.core.failure.RequestFailure;

/** Decision of {@link OversizePlanner} on where a prompt runs. Implementations are immutable. */
public sealed interface OversizeDecision {
    /** The prompt and its answer fit on one engine. */
    record OneEngine() implements OversizeDecision {}

    /**
     * The prompt is split over several engines.
     *
     * @param plan the plan
     * @param memoryAvailable whether all engines of the plan have enough free memory now; if not,
     *     the prompt waits in the order in which prompts claimed memory
     */
    record Split(OversizePlan plan, boolean memoryAvailable) implements OversizeDecision {}

    /**
     * The prompt cannot run on these engines.
     *
     * @param failure the reason
     */
    record Refuse(RequestFailure failure) implements OversizeDecision {}
}
