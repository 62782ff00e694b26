package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.ClaimOutcome;
import dev.kumquatweir.core.control.ClaimPort;
import dev.kumquatweir.core.control.ClaimRequest;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.gateway.dispatch.Exchange;
import dev.kumquatweir.gateway.dispatch.GenerationSummary;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import java.util.function.Consumer;

/**
 * Records the outcome of a claimed request before forwarding it to the wrapped exchange. Because
 * the response is sent only after the record, a repeat right after it gets the same response, also
 * during a leader change. Without a quorum the response is sent when {@link
 * ClaimPort#recordOutcome} gives up.
 */
final class ClaimedExchange implements Exchange {
    private final Exchange mExchange;
    private final ClaimPort mClaims;
    private final ClaimRequest mClaim;
    private final BiFunction<GenerationSummary, String, RecordedResponse> mRecorder;
    private final Consumer<CompletionStage<Boolean>> mOnRecordStarted;

    /**
     * @param exchange receives the outcome after it was recorded
     * @param claims records the outcome
     * @param claim claim of the request
     * @param recorder converts a generated completion to the recorded response
     * @param onRecordStarted called with each pending record, so that a planned stop can wait for
     *     it
     */
    ClaimedExchange(
            Exchange exchange,
            ClaimPort claims,
            ClaimRequest claim,
            BiFunction<GenerationSummary, String, RecordedResponse> recorder,
            Consumer<CompletionStage<Boolean>> onRecordStarted) {
        mExchange = exchange;
        mClaims = claims;
        mClaim = claim;
        mRecorder = recorder;
        mOnRecordStarted = onRecordStarted;
    }

    @Override
    public void token(String text) {
        mExchange.token(text);
    }

    @Override
    public void finished(GenerationSummary summary, String text) {
        RecordedResponse response = withinBodyLimit(mRecorder.apply(summary, text));
        recordThen(new ClaimOutcome.Finished(response), () -> mExchange.finished(summary, text));
    }

    @Override
    public void answered(RecordedResponse response) {
        recordThen(
                new ClaimOutcome.Finished(withinBodyLimit(response)),
                () -> mExchange.answered(response));
    }

    @Override
    public void failed(RequestFailure failure) {
        ClaimOutcome outcome =
                failure.executed() == Executed.NO
                        ? new ClaimOutcome.NotExecuted()
                        : new ClaimOutcome.Unknown();
        recordThen(outcome, () -> mExchange.failed(failure));
    }

    private void recordThen(ClaimOutcome outcome, Runnable forwardResult) {
        CompletionStage<Boolean> recorded = mClaims.recordOutcome(mClaim, outcome);
        mOnRecordStarted.accept(recorded);
        recorded.whenComplete((agreed, exception) -> forwardResult.run());
    }

    private static RecordedResponse withinBodyLimit(RecordedResponse response) {
        return response.body().size() <= RecordedResponse.MAXIMUM_BODY_BYTES
                ? response
                : new RecordedResponse(
                        response.status(), response.contentType(), Bytes.EMPTY, false);
    }
}
