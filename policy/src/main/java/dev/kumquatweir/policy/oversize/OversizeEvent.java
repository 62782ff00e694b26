package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;

/** An event handled by {@link OversizeRun}. Implementations are immutable. */
public sealed interface OversizeEvent {
    /** Time has passed, or the permits have changed. */
    record Tick() implements OversizeEvent {}

    /**
     * A step other than an export has completed.
     *
     * @param step the step
     */
    record StepCompleted(OversizeStep step) implements OversizeEvent {}

    /**
     * The KV cache of a part has been exported.
     *
     * @param part the part
     * @param handle handle of the export on the engine of the part
     */
    record Exported(PromptPart part, String handle) implements OversizeEvent {}

    /**
     * A step has failed.
     *
     * @param upstream the engine on which it failed
     * @param cause the observed failure
     */
    record StepFailed(UpstreamId upstream, AttemptEvent.BreakCause cause)
            implements OversizeEvent {}

    /**
     * An engine crashed or restarted, so that there is nothing left to release on it.
     *
     * @param upstream the engine
     */
    record EngineLost(UpstreamId upstream) implements OversizeEvent {}

    /**
     * The request ends for another reason: its caller disconnected or its deadline passed.
     *
     * @param failure the reason
     */
    record Abandoned(RequestFailure failure) implements OversizeEvent {}
}
