package dev.kumquatweir.policy.permit;

/** What the leader does with a request for permits. Implementations are immutable. */
public sealed interface PermitDecision {
    /**
     * Answer it.
     *
     * @param grant the answer
     */
    record Answer(PermitGrant grant) implements PermitDecision {}

    /**
     * Don't answer it: permits of an earlier leader may still be valid. Its claims are remembered,
     * so that work which already runs comes first.
     *
     * @param firstGrantNanos when the leader starts to grant
     */
    record Deferred(long firstGrantNanos) implements PermitDecision {}

    /** Drop it: a newer request of the same holder was already answered. */
    record Outdated() implements PermitDecision {}
}
