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
 * Records how a claimed request ended, then passes the end on. The caller waits for the record, so
 * that a repeat right after the answer gets the same answer, also while a leader is being replaced.
 * Without a quorum the answer is passed on when {@link ClaimPort#recordOutcome} gives up.
 */
final class ClaimedExchange implements Exchange {
    private final Exchange mExchange;
    private final ClaimPort mClaims;
    private final ClaimRequest mClaim;
    private final BiFunction<GenerationSummary, String, RecordedResponse> mRecorder;
    private final Consumer<CompletionStage<Boolean>> mOnRecordStarted;

    /**
     * @param recorder makes the recorded form of a generated answer
     * @param onRecordStarted told of each record being made, so that a planned stop can wait for it
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
        RecordedResponse answer = withinBodyLimit(mRecorder.apply(summary, text));
        recordThen(new ClaimOutcome.Finished(answer), () -> mExchange.finished(summary, text));
    }

    @Override
    public void answered(RecordedResponse answer) {
        recordThen(
                new ClaimOutcome.Finished(withinBodyLimit(answer)),
                () -> mExchange.answered(answer));
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
        recorded.whenComplete((agreed, problem) -> forwardResult.run());
    }

    private static RecordedResponse withinBodyLimit(RecordedResponse answer) {
        return answer.body().size() <= RecordedResponse.MAXIMUM_BODY_BYTES
                ? answer
                : new RecordedResponse(answer.status(), answer.contentType(), Bytes.EMPTY, false);
    }
}
