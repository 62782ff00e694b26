package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.core.control.ClaimDecision;
import dev.kumquatweir.core.control.ClaimPort;
import dev.kumquatweir.core.control.ClaimRequest;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.dispatch.DispatchDuty;
import dev.kumquatweir.gateway.dispatch.Exchange;
import dev.kumquatweir.gateway.dispatch.GenerationSummary;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import java.util.function.Consumer;

/**
 * Claims a request where required, then submits it to {@link DispatchDuty}. The claim precedes
 * admission, because a refusal may report the request as not executed only after the replicated log
 * was queried for its idempotency key. Thread-safe.
 */
final class Submitter {
    private final DispatchDuty mDispatch;
    private final ClaimPort mClaims;
    private final Clocks mClocks;
    private final AtomicInteger mPendingRecords = new AtomicInteger();

    Submitter(DispatchDuty dispatch, ClaimPort claims, Clocks clocks) {
        mDispatch = dispatch;
        mClaims = claims;
        mClocks = clocks;
    }

    /**
     * Submits a request.
     *
     * @param submission the request
     * @param exchange receives the outcome in every case, unless {@code onReplay} is called
     * @param recorder converts a generated completion to the recorded response
     * @param onReplay called with the recorded response if the request was executed before
     */
    void submit(
            Submission submission,
            Exchange exchange,
            BiFunction<GenerationSummary, String, RecordedResponse> recorder,
            Consumer<RecordedResponse> onReplay) {
        if (submission.claim().isEmpty()) {
            long deadlineNanos = submission.request().deadlineNanos();
            mDispatch.submit(submission.request(), submission.work(), exchange, deadlineNanos);
            return;
        }
        ClaimRequest claim = submission.claim().get();
        mClaims.claim(claim, mClocks.nowNanos())
                .thenAccept(
                        decision ->
                                handleDecision(
                                        submission, claim, decision, exchange, recorder, onReplay));
    }

    /** Returns the number of ended requests whose outcome is not yet recorded. */
    int pendingRecords() {
        return mPendingRecords.get();
    }

    private void handleDecision(
            Submission submission,
            ClaimRequest claim,
            ClaimDecision decision,
            Exchange exchange,
            BiFunction<GenerationSummary, String, RecordedResponse> recorder,
            Consumer<RecordedResponse> onReplay) {
        switch (decision) {
            case ClaimDecision.Granted granted ->
                    mDispatch.submit(
                            submission.request(),
                            submission.work(),
                            new ClaimedExchange(
                                    exchange, mClaims, claim, recorder, this::trackRecord),
                            granted.sendByNanos());
            case ClaimDecision.AlreadyFinished finished -> onReplay.accept(finished.response());
            case ClaimDecision.StillRunning _ ->
                    exchange.failed(new RequestFailure.InProgress(claim.key()));
            case ClaimDecision.OutcomeUnknown _ ->
                    exchange.failed(new RequestFailure.OutcomeUnknown(claim.key()));
            case ClaimDecision.KeyReused _ ->
                    exchange.failed(new RequestFailure.IdempotencyKeyReused(claim.key()));
            case ClaimDecision.Unavailable _ ->
                    exchange.failed(
                            new RequestFailure.RefusedBeforeClaim(new RequestFailure.NoQuorum()));
        }
    }

    private void trackRecord(CompletionStage<Boolean> recorded) {
        mPendingRecords.incrementAndGet();
        recorded.whenComplete((agreed, exception) -> mPendingRecords.decrementAndGet());
    }
}
