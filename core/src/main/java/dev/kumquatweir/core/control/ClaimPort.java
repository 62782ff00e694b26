package dev.kumquatweir.core.control;

import java.util.concurrent.CompletionStage;

/** Decides claims on requests that may not be repeated. Implementations are thread-safe. */
public interface ClaimPort {
    /**
     * Asks for a claim. The stage always completes normally, with {@link ClaimDecision.Unavailable}
     * when no quorum answers within about 2 s. An unavailable claim is abandoned by the
     * implementation as soon as a quorum answers again.
     *
     * @param request the claim
     * @param nowNanos present monotonic time, from which the send-by time is counted
     */
    CompletionStage<ClaimDecision> claim(ClaimRequest request, long nowNanos);

    /**
     * Records the outcome of a granted claim; retried by the implementation until it is agreed.
     *
     * @param request the claim that was granted
     * @param outcome how it ended
     * @return completes with true once the outcome is agreed and synced, with false if it could not
     *     be within about 15 s (the record then ends as unknown)
     */
    CompletionStage<Boolean> recordOutcome(ClaimRequest request, ClaimOutcome outcome);
}
