package dev.kumquatweir.policy.permit;

/** The leader's decision on a {@link PermitRequest}. Implementations are immutable. */
public sealed interface PermitDecision {
    /**
     * The request is answered.
     *
     * @param grant the answer
     */
    record Answer(PermitGrant grant) implements PermitDecision {}

    /**
     * The request is not answered because permits of an earlier leader may still be valid. The
     * ledger keeps its claims, so that work already running gets its permits first.
     *
     * @param firstGrantNanos time from which the leader grants permits
     */
    record Deferred(long firstGrantNanos) implements PermitDecision {}

    /** The request is dropped: it or a newer one of its holder was already received. */
    record Outdated() implements PermitDecision {}
}
