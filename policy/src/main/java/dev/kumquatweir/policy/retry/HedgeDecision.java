package dev.kumquatweir.policy.retry;

/** Whether to start a second, concurrent attempt of a request. Implementations are immutable. */
public sealed interface HedgeDecision {
    /** Start a second attempt on another upstream now; the first to answer becomes current. */
    record Hedge() implements HedgeDecision {}

    /**
     * Do not hedge yet.
     *
     * @param recheckAtNanos when to decide again
     */
    record Wait(long recheckAtNanos) implements HedgeDecision {}

    /**
     * Never hedge this attempt.
     *
     * @param reason why not
     */
    record Never(Reason reason) implements HedgeDecision {}

    /** Why an attempt is not hedged. */
    enum Reason {
        /** A second execution is not allowed. */
        NOT_REPEATABLE,
        /** The request is not of the short class or its prompt is too long. */
        NOT_SHORT,
        /** The attempt already produces tokens. */
        ANSWERING,
        /** A second attempt was already started. */
        ALREADY_HEDGED,
        /** The request is suspected of crashing upstreams. */
        SUSPECT,
        /** A second attempt could not finish before the deadline. */
        NO_TIME
    }
}
