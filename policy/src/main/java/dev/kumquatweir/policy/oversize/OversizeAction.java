package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import java.util.List;

/** An action requested by {@link OversizeRun}. Implementations are immutable. */
public sealed interface OversizeAction {
    /**
     * Execute a step.
     *
     * @param step the step
     * @param handles handles of the exports of the earlier parts, in the order of the parts
     */
    record Perform(OversizeStep step, List<String> handles) implements OversizeAction {
        /** Copies the list. */
        public Perform {
            handles = List.copyOf(handles);
        }
    }

    /**
     * Cancel the attempt of a part.
     *
     * @param upstream the engine of the part
     * @param attempt the attempt
     */
    record Cancel(UpstreamId upstream, AttemptId attempt) implements OversizeAction {}

    /**
     * Release an export.
     *
     * @param upstream the engine that holds the export
     * @param handle handle of the export on this engine
     */
    record ReleaseKv(UpstreamId upstream, String handle) implements OversizeAction {}

    /** Report that the answer is complete. */
    record Complete() implements OversizeAction {}

    /**
     * Report that the run was aborted. Whether it is retried is decided as for any other attempt.
     *
     * @param upstream the engine that failed
     * @param cause the observed failure
     */
    record Broken(UpstreamId upstream, AttemptEvent.BreakCause cause) implements OversizeAction {}

    /**
     * Report that the request has failed.
     *
     * @param failure the failure
     */
    record Fail(RequestFailure failure) implements OversizeAction {}
}
