package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;

/** What happens to a prompt over several engines. Implementations are immutable. */
public sealed interface OversizeEvent {
    /** Time has passed, or the permits have changed. */
    record Tick() implements OversizeEvent {}

    /**
     * A step other than an export is done.
     *
     * @param step the step
     */
    record StepCompleted(OversizeStep step) implements OversizeEvent {}

    /**
     * A part's cache is exported.
     *
     * @param part the part
     * @param handle the engine's name of the export
     */
    record Exported(PromptPart part, String handle) implements OversizeEvent {}

    /**
     * A step failed.
     *
     * @param upstream the engine on which it failed
     * @param cause what was seen
     */
    record StepFailed(UpstreamId upstream, AttemptEvent.BreakCause cause)
            implements OversizeEvent {}

    /**
     * An engine died or restarted; nothing is left to be released there.
     *
     * @param upstream the engine
     */
    record EngineLost(UpstreamId upstream) implements OversizeEvent {}

    /**
     * The request ends for another reason: its caller left or its time is over.
     *
     * @param failure the reason
     */
    record Abandoned(RequestFailure failure) implements OversizeEvent {}
}
