package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.control.RecordedResponse;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * State of one claim. Immutable.
 *
 * @param claimant who holds or held it
 * @param requestHash hash of the request's content, empty if an abandonment came before the claim
 * @param phase how far it is
 * @param deadlineMillis state machine time after which a missing outcome counts as unknown
 * @param changedAtMillis state machine time of the last change
 * @param response recorded answer, present if and only if it is finished
 */
public record ClaimRecord(
        Claimant claimant,
        String requestHash,
        Phase phase,
        long deadlineMillis,
        long changedAtMillis,
        @Nullable RecordedResponse response) {
    /** How far a claim is. */
    public enum Phase {
        /** Granted, no outcome yet. */
        GRANTED,
        /** Executed, answer recorded. */
        FINISHED,
        /** The claimant reported that it does not know the outcome. */
        UNKNOWN,
        /** The claimant proved that it did not and will not send the request. */
        ABANDONED
    }

    /** Returns the recorded answer, if it is finished. */
    public Optional<RecordedResponse> recordedResponse() {
        return Optional.ofNullable(response);
    }

    /** Returns the bytes of the recorded answer's body. */
    long responseBytes() {
        return response == null ? 0 : response.body().size();
    }

    ClaimRecord withOutcome(
            Phase newPhase, @Nullable RecordedResponse newResponse, long nowMillis) {
        return new ClaimRecord(
                claimant, requestHash, newPhase, deadlineMillis, nowMillis, newResponse);
    }
}
