package dev.kumquatweir.core.control;

/** Answer to a {@link ClaimRequest}. */
public sealed interface ClaimDecision {
    /**
     * The request may be sent once, before the given time.
     *
     * @param sendByNanos monotonic time after which it must not be sent any more
     */
    record Granted(long sendByNanos) implements ClaimDecision {}

    /**
     * The request was executed before.
     *
     * @param response its answer
     */
    record AlreadyFinished(RecordedResponse response) implements ClaimDecision {}

    /** Another request with this key is being executed. */
    record StillRunning() implements ClaimDecision {}

    /** A claimant is gone or its time is over, and nobody knows whether it sent the request. */
    record OutcomeUnknown() implements ClaimDecision {}

    /** The key was used with another request. */
    record KeyReused() implements ClaimDecision {}

    /** No decision was reached in time. The claimant must not send the request. */
    record Unavailable() implements ClaimDecision {}
}
