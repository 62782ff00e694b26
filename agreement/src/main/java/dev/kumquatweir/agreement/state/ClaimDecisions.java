package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.control.ClaimDecision;

/** Translates results of the state machine for the claim port. Thread-safe: holds no state. */
public final class ClaimDecisions {
    private ClaimDecisions() {}

    /**
     * Returns the decision on a claim.
     *
     * @param result result of the claim's log entry
     * @param sendByNanos monotonic time of the claimant after which it must not send, counted from
     *     when it asked
     */
    public static ClaimDecision of(StateResult result, long sendByNanos) {
        return switch (result) {
            case StateResult.ClaimGranted _ -> new ClaimDecision.Granted(sendByNanos);
            case StateResult.ClaimFinished(var answer) -> new ClaimDecision.AlreadyFinished(answer);
            case StateResult.ClaimRunning() -> new ClaimDecision.StillRunning();
            case StateResult.ClaimUnknown() -> new ClaimDecision.OutcomeUnknown();
            case StateResult.ClaimKeyReused() -> new ClaimDecision.KeyReused();
            default -> new ClaimDecision.Unavailable();
        };
    }
}
