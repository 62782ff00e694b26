package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.dispatch.Exchange;
import dev.kumquatweir.gateway.dispatch.GenerationSummary;
import dev.kumquatweir.gateway.http.ErrorAnswer;
import dev.kumquatweir.gateway.http.HttpAnswers;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * The caller's side of a completion. The answer's head is held back until the first token or a
 * short time has passed, so that an early failure still gets its own HTTP status. Thread-safe.
 */
final class GenerationExchange implements Exchange, QuietStream {
    private final RequestId mId;
    private final CompletionRequest mRequest;
    private final HttpAnswers mAnswers;
    private final CompletableFuture<StreamingHttpResponse> mResponse;
    private final Runnable mOnCallerGone;
    private final Clocks mClocks;
    private final long mCreatedSeconds;
    private final long mStartNanos;
    private @Nullable AnswerStream mStream;
    private boolean mEnded;

    GenerationExchange(
            RequestId id,
            CompletionRequest request,
            HttpAnswers answers,
            CompletableFuture<StreamingHttpResponse> response,
            Runnable onCallerGone,
            Clocks clocks,
            long createdSeconds) {
        mId = id;
        mRequest = request;
        mAnswers = answers;
        mResponse = response;
        mOnCallerGone = onCallerGone;
        mClocks = clocks;
        mCreatedSeconds = createdSeconds;
        mStartNanos = clocks.nowNanos();
    }

    @Override
    public synchronized void token(String text) {
        if (mRequest.stream()) {
            opened().event(chunk(text, null), mClocks.nowNanos());
        }
    }

    @Override
    public synchronized void finished(GenerationSummary summary, String text) {
        mEnded = true;
        if (!mRequest.stream()) {
            mResponse.complete(
                    mAnswers.whole(
                            200,
                            mRequest.format().whole(mId, model(), mCreatedSeconds, text, summary)));
            return;
        }
        AnswerStream stream = opened();
        long nowNanos = mClocks.nowNanos();
        stream.event(chunk("", summary.finishReason()), nowNanos);
        if (mRequest.includeUsage()) {
            stream.event(
                    mRequest.format().usageChunk(mId, model(), mCreatedSeconds, summary).toString(),
                    nowNanos);
        }
        stream.complete(nowNanos);
    }

    @Override
    public void answered(RecordedResponse answer) {
        throw new IllegalStateException("an engine gave a plain answer");
    }

    @Override
    public synchronized void failed(RequestFailure failure) {
        mEnded = true;
        AnswerStream stream = mStream;
        if (stream == null) {
            mResponse.complete(mAnswers.failed(failure, mId.value()));
        } else {
            String body = ErrorAnswer.body(failure, mId.value()).toString();
            stream.fail(body, mClocks.nowNanos());
        }
    }

    @Override
    public synchronized boolean keepAlive(long openAfterNanos, long quietNanos, long nowNanos) {
        if (mEnded) {
            return false;
        }
        if (mRequest.stream() && nowNanos - mStartNanos >= openAfterNanos) {
            opened().keepAlive(quietNanos, nowNanos);
        }
        return true;
    }

    private AnswerStream opened() {
        AnswerStream stream = mStream;
        if (stream == null) {
            stream = new AnswerStream(mAnswers::buffer, mOnCallerGone, mClocks.nowNanos());
            mStream = stream;
            mResponse.complete(mAnswers.streamed("text/event-stream", stream.body()));
        }
        return stream;
    }

    private String chunk(String text, @Nullable String finishReason) {
        return mRequest.format()
                .chunk(mId, model(), mCreatedSeconds, text, finishReason)
                .toString();
    }

    private ModelName model() {
        return mRequest.generation().model();
    }
}
