package dev.kumquatweir.core.control;

/** Decision on a {@link ClaimRequest}. */
public sealed interface ClaimDecision {
    /**
     * The claimant may send the request once, before the given time.
     *
     * @param sendByNanos monotonic time from which on the claimant must not send it any more
     */
    record Granted(long sendByNanos) implements ClaimDecision {}

    /**
     * The request was executed before and its response recorded.
     *
     * @param response its recorded response
     */
    record AlreadyFinished(RecordedResponse response) implements ClaimDecision {}

    /** Another request with this key is being executed. */
    record StillRunning() implements ClaimDecision {}

    /**
     * It is unknown whether an earlier claimant sent the request: it restarted, its time limit
     * passed, or it reported an unknown outcome.
     */
    record OutcomeUnknown() implements ClaimDecision {}

    /** The idempotency key was used with a different request. */
    record KeyReused() implements ClaimDecision {}

    /** No decision was reached. The claimant must not send the request. */
    record Unavailable() implements ClaimDecision {}
}
