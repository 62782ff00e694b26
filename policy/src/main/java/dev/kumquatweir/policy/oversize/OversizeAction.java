package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import java.util.List;

/** What is to be done for a prompt over several engines. Implementations are immutable. */
public sealed interface OversizeAction {
    /**
     * Carry out a step.
     *
     * @param step the step
     * @param handles exports of the earlier parts, in order
     */
    record Perform(OversizeStep step, List<String> handles) implements OversizeAction {
        /** Copies the list, so that the record is immutable. */
        public Perform {
            handles = List.copyOf(handles);
        }
    }

    /**
     * Cancel the attempt of a part.
     *
     * @param upstream its engine
     * @param attempt the attempt
     */
    record Cancel(UpstreamId upstream, AttemptId attempt) implements OversizeAction {}

    /**
     * Release an export.
     *
     * @param upstream its engine
     * @param handle the engine's name of it
     */
    record ReleaseKv(UpstreamId upstream, String handle) implements OversizeAction {}

    /** The answer is complete. */
    record Complete() implements OversizeAction {}

    /**
     * The run broke off; whether it is tried again is decided as for any attempt.
     *
     * @param upstream the engine that failed
     * @param cause what was seen
     */
    record Broken(UpstreamId upstream, AttemptEvent.BreakCause cause) implements OversizeAction {}

    /**
     * The request ends with a failure.
     *
     * @param failure why
     */
    record Fail(RequestFailure failure) implements OversizeAction {}
}
