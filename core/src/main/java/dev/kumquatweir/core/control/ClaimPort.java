package dev.kumquatweir.core.control;

import java.util.concurrent.CompletionStage;

/** Decides claims on non-repeatable requests. Implementations are thread-safe. */
public interface ClaimPort {
    /**
     * Requests a claim. The stage always completes normally, with {@link ClaimDecision.Unavailable}
     * if no quorum responds within about 2 s. The implementation abandons an unavailable claim as
     * soon as a quorum responds again.
     *
     * @param request the claim
     * @param nowNanos present monotonic time, from which the send-by time is counted
     */
    CompletionStage<ClaimDecision> claim(ClaimRequest request, long nowNanos);

    /**
     * Records the outcome of a granted claim. The implementation retries until it is committed.
     *
     * @param request the claim that was granted
     * @param outcome how it ended
     * @return completes with true once the outcome is committed and synced to disk, with false if
     *     that did not succeed within about 15 s (the outcome then becomes unknown)
     */
    CompletionStage<Boolean> recordOutcome(ClaimRequest request, ClaimOutcome outcome);
}
