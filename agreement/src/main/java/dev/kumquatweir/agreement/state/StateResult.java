package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.control.RecordedResponse;

/** Result of applying one log entry. */
public sealed interface StateResult {
    /** The entry holds no command. */
    record NoCommand() implements StateResult {}

    /**
     * The payload can't be decoded; nothing changed.
     *
     * @param problem what is wrong
     */
    record Malformed(String problem) implements StateResult {}

    /** Result of a configuration change, kept by command id. */
    sealed interface ConfigurationResult extends StateResult {}

    /**
     * The document was accepted.
     *
     * @param version its version
     */
    record ConfigurationAccepted(long version) implements ConfigurationResult {}

    /**
     * The base version is not the present one.
     *
     * @param currentVersion present version
     * @param changedBy who made it
     * @param changedAtMillis when, by the leader's wall clock
     */
    record ConfigurationConflict(long currentVersion, String changedBy, long changedAtMillis)
            implements ConfigurationResult {}

    /**
     * The document exceeds the limit.
     *
     * @param limitBytes largest document
     */
    record DocumentTooLarge(long limitBytes) implements ConfigurationResult {}

    /**
     * The instance runs under this incarnation.
     *
     * @param incarnation number that no other start has
     */
    record InstanceStarted(long incarnation) implements StateResult {}

    /**
     * The claimant alone may send the request, once.
     *
     * @param deadlineMillis state machine time after which a missing outcome counts as unknown
     */
    record ClaimGranted(long deadlineMillis) implements StateResult {}

    /**
     * The request was executed before.
     *
     * @param response its answer
     */
    record ClaimFinished(RecordedResponse response) implements StateResult {}

    /** Another request holds the claim. */
    record ClaimRunning() implements StateResult {}

    /** Nobody knows whether the request was executed. */
    record ClaimUnknown() implements StateResult {}

    /** The key was used with another request. */
    record ClaimKeyReused() implements StateResult {}

    /**
     * The claim was not considered; the claimant must not send.
     *
     * @param reason why
     */
    record ClaimRefused(ClaimRefusalReason reason) implements StateResult {}

    /** The outcome is recorded. */
    record OutcomeRecorded() implements StateResult {}

    /** The sender does not hold the claim, or another outcome is recorded already. */
    record OutcomeRefused() implements StateResult {}

    /**
     * A step of expiry is done.
     *
     * @param removed how many claims were removed
     * @param wrapped whether the step reached the end of the table
     */
    record Expired(int removed, boolean wrapped) implements StateResult {}

    /**
     * The epoch belongs to the holder.
     *
     * @param epoch larger than all epochs before it
     */
    record EpochAcquired(long epoch) implements StateResult {}

    /**
     * The routing document was considered.
     *
     * @param storedVersion version held from now on, at least that of the command
     */
    record RoutingStored(long storedVersion) implements StateResult {}

    /** The failure domain is in the state that was asked for. */
    record DomainUpdated() implements StateResult {}

    /** Reasons for {@link ClaimRefused}. */
    enum ClaimRefusalReason {
        /** The claimant's instance has started anew, or is not known. */
        STALE_INCARNATION,
        /** This request abandoned the claim before. */
        ABANDONED,
        /** The table is full. */
        FULL
    }
}
