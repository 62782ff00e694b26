package dev.kumquatweir.policy.retry;

/** Whether a second attempt is started next to a running one. Implementations are immutable. */
public sealed interface HedgeDecision {
    /** Start a second attempt on another upstream now; the first to answer becomes current. */
    record Hedge() implements HedgeDecision {}

    /**
     * Not yet.
     *
     * @param recheckAtNanos when to ask again
     */
    record Wait(long recheckAtNanos) implements HedgeDecision {}

    /**
     * Never for this attempt.
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
        /** Tokens already arrive. */
        ANSWERING,
        /** A second attempt was already started. */
        ALREADY_HEDGED,
        /** The request is suspected of crashing upstreams. */
        SUSPECT,
        /** The answer could not be complete in time. */
        NO_TIME
    }
}
