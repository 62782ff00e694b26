package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.control.ClaimDecision;

/**
 * Converts results of the state machine to decisions of the claim port. Stateless and thread-safe.
 */
public final class ClaimDecisions {
    private ClaimDecisions() {}

    /**
     * Converts the result of a claim. Any result that does not decide the claim is unavailable.
     *
     * @param result result of applying the log entry of the claim
     * @param sendByNanos monotonic time of the claimant from which on it must not send the request;
     *     counted from when it made the claim
     */
    public static ClaimDecision of(StateResult result, long sendByNanos) {
        return switch (result) {
            case StateResult.ClaimGranted _ -> new ClaimDecision.Granted(sendByNanos);
            case StateResult.ClaimFinished(var response) ->
                    new ClaimDecision.AlreadyFinished(response);
            case StateResult.ClaimRunning() -> new ClaimDecision.StillRunning();
            case StateResult.ClaimUnknown() -> new ClaimDecision.OutcomeUnknown();
            case StateResult.ClaimKeyReused() -> new ClaimDecision.KeyReused();
            default -> new ClaimDecision.Unavailable();
        };
    }
}
