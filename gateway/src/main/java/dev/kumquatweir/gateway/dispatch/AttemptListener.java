package dev.kumquatweir.gateway.dispatch;

import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.policy.dispatch.AttemptEvent;

/** Takes what an upstream client sees of one attempt. Called on any thread, one call at a time. */
public interface AttemptListener {
    /** The upstream has taken the attempt. */
    void accepted();

    /** A token arrived; indexes count from the start of the answer, resumed tokens included. */
    void token(long index, String text);

    /** An engine's answer is whole. */
    void finished(GenerationSummary summary);

    /** A plain service has answered. */
    void answered(RecordedResponse answer);

    /** The upstream did not take the attempt, and it did not run. */
    void refused(AttemptEvent.RefusalReason reason);

    /** The attempt broke off; it may have run. */
    void broken(AttemptEvent.BreakCause how);
}
