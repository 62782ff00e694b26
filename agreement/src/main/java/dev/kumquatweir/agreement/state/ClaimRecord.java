package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.control.RecordedResponse;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * State of one claim. Immutable.
 *
 * @param claimant request that holds or held the claim
 * @param requestHash hash of the request's content, empty if the claim was abandoned before it was
 *     granted
 * @param phase phase of the claim
 * @param deadlineMillis state machine time after which a missing outcome counts as unknown
 * @param changedAtMillis state machine time of the last change
 * @param response recorded response, present if and only if the claim is finished
 */
public record ClaimRecord(
        Claimant claimant,
        String requestHash,
        Phase phase,
        long deadlineMillis,
        long changedAtMillis,
        @Nullable RecordedResponse response) {
    /** Phase of a claim. */
    public enum Phase {
        /** Granted, no outcome recorded yet. */
        GRANTED,
        /** Executed, response recorded. */
        FINISHED,
        /** The claimant reported that it does not know the outcome. */
        UNKNOWN,
        /** The request was not executed and will not be sent by this claimant. */
        ABANDONED
    }

    /** Returns the recorded response, empty unless the claim is finished. */
    public Optional<RecordedResponse> recordedResponse() {
        return Optional.ofNullable(response);
    }

    /** Returns the size of the recorded response body in bytes. */
    long responseBytes() {
        return response == null ? 0 : response.body().size();
    }

    ClaimRecord withOutcome(
            Phase newPhase, @Nullable RecordedResponse newResponse, long nowMillis) {
        return new ClaimRecord(
                claimant, requestHash, newPhase, deadlineMillis, nowMillis, newResponse);
    }
}
