package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.control.RecordedResponse;

/** Result of applying one log entry. */
public sealed interface StateResult {
    /** The entry is not a command. */
    record NoCommand() implements StateResult {}

    /**
     * The payload can't be decoded; the state is unchanged.
     *
     * @param problem description of the error
     */
    record Malformed(String problem) implements StateResult {}

    /** Result of a configuration change; retained by command id. */
    sealed interface ConfigurationResult extends StateResult {}

    /**
     * The document was accepted as a new version.
     *
     * @param version the new version
     */
    record ConfigurationAccepted(long version) implements ConfigurationResult {}

    /**
     * The base version is not the current version.
     *
     * @param currentVersion current version
     * @param changedBy operator who made it
     * @param changedAtMillis time of that change by the leader's wall clock
     */
    record ConfigurationConflict(long currentVersion, String changedBy, long changedAtMillis)
            implements ConfigurationResult {}

    /**
     * The document exceeds the size limit.
     *
     * @param limitBytes maximum size of a document
     */
    record DocumentTooLarge(long limitBytes) implements ConfigurationResult {}

    /**
     * The start is recorded; the instance runs under this incarnation.
     *
     * @param incarnation unique number of this start
     */
    record InstanceStarted(long incarnation) implements StateResult {}

    /**
     * The claim is granted: only the claimant may send the request, and only once.
     *
     * @param deadlineMillis state machine time after which a missing outcome counts as unknown
     */
    record ClaimGranted(long deadlineMillis) implements StateResult {}

    /**
     * The request was executed before and its response recorded.
     *
     * @param response the recorded response
     */
    record ClaimFinished(RecordedResponse response) implements StateResult {}

    /** Another request holds the claim. */
    record ClaimRunning() implements StateResult {}

    /** It is unknown whether the request was executed. */
    record ClaimUnknown() implements StateResult {}

    /** The key was used with a different request. */
    record ClaimKeyReused() implements StateResult {}

    /**
     * The claim was refused; the claimant must not send the request.
     *
     * @param reason reason for the refusal
     */
    record ClaimRefused(ClaimRefusalReason reason) implements StateResult {}

    /** The outcome is recorded. */
    record OutcomeRecorded() implements StateResult {}

    /**
     * The sender does not hold the claim, the claim already has a different final outcome, or the
     * table of claims is full.
     */
    record OutcomeRefused() implements StateResult {}

    /**
     * An expiry command was applied.
     *
     * @param removed number of claims that were removed
     * @param wrapped whether the end of the table was reached; the next command starts over
     */
    record Expired(int removed, boolean wrapped) implements StateResult {}

    /**
     * The epoch was acquired.
     *
     * @param epoch the epoch, larger than all earlier ones
     */
    record EpochAcquired(long epoch) implements StateResult {}

    /**
     * The routing document was stored, or ignored because its version is not higher than the stored
     * one.
     *
     * @param storedVersion version that is stored now, at least that of the command
     */
    record RoutingStored(long storedVersion) implements StateResult {}

    /** The failure domain is in the requested state. */
    record DomainUpdated() implements StateResult {}

    /**
     * The command on a failure domain had no effect: the routing state has changed since its base.
     *
     * @param changeCount {@link RoutingImage#changeCount} of the current state
     */
    record DomainOvertaken(long changeCount) implements StateResult {}

    /** Reasons for {@link ClaimRefused}. */
    enum ClaimRefusalReason {
        /** The claimant's instance has restarted since, or is not known. */
        STALE_INCARNATION,
        /** The same request abandoned the claim before. */
        ABANDONED,
        /** The table of claims is full. */
        FULL
    }
}
