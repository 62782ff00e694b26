package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.dispatch.Exchange;
import dev.kumquatweir.gateway.dispatch.GenerationSummary;
import dev.kumquatweir.gateway.http.ErrorResponse;
import dev.kumquatweir.gateway.http.HttpResponses;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Writes the response to a completion request. Status and headers of a stream are delayed until the
 * first token or for a short time, so that an early failure can still be sent with its own HTTP
 * status. Thread-safe.
 */
final class GenerationExchange implements Exchange, KeepAliveStream {
    private final RequestId mId;
    private final CompletionRequest mRequest;
    private final HttpResponses mResponses;
    private final CompletableFuture<StreamingHttpResponse> mResponse;
    private final Runnable mOnDisconnect;
    private final Clocks mClocks;
    private final long mCreatedSeconds;
    private final long mStartNanos;
    private @Nullable ResponseEventStream mStream;
    private boolean mEnded;

    GenerationExchange(
            RequestId id,
            CompletionRequest request,
            HttpResponses responses,
            CompletableFuture<StreamingHttpResponse> response,
            Runnable onDisconnect,
            Clocks clocks,
            long createdSeconds) {
        mId = id;
        mRequest = request;
        mResponses = responses;
        mResponse = response;
        mOnDisconnect = onDisconnect;
        mClocks = clocks;
        mCreatedSeconds = createdSeconds;
        mStartNanos = clocks.nowNanos();
    }

    @Override
    public synchronized void token(String text) {
        if (mRequest.stream()) {
            openStream().writeEvent(chunk(text, null), mClocks.nowNanos());
        }
    }

    @Override
    public synchronized void finished(GenerationSummary summary, String text) {
        mEnded = true;
        if (!mRequest.stream()) {
            mResponse.complete(
                    mResponses.full(
                            200,
                            mRequest.format()
                                    .completion(mId, model(), mCreatedSeconds, text, summary)));
            return;
        }
        ResponseEventStream stream = openStream();
        long nowNanos = mClocks.nowNanos();
        stream.writeEvent(chunk("", summary.finishReason()), nowNanos);
        if (mRequest.includeUsage()) {
            stream.writeEvent(
                    mRequest.format().usageChunk(mId, model(), mCreatedSeconds, summary).toString(),
                    nowNanos);
        }
        stream.complete(nowNanos);
    }

    @Override
    public void answered(RecordedResponse response) {
        throw new IllegalStateException("unexpected plain service response from an engine");
    }

    @Override
    public synchronized void failed(RequestFailure failure) {
        mEnded = true;
        ResponseEventStream stream = mStream;
        if (stream == null) {
            mResponse.complete(mResponses.errorResponse(failure, mId.value()));
        } else {
            String body = ErrorResponse.body(failure, mId.value()).toString();
            stream.fail(body, mClocks.nowNanos());
        }
    }

    @Override
    public synchronized boolean keepAlive(long openAfterNanos, long idleNanos, long nowNanos) {
        if (mEnded) {
            return false;
        }
        if (mRequest.stream() && nowNanos - mStartNanos >= openAfterNanos) {
            openStream().keepAlive(idleNanos, nowNanos);
        }
        return true;
    }

    private ResponseEventStream openStream() {
        ResponseEventStream stream = mStream;
        if (stream == null) {
            stream = new ResponseEventStream(mResponses::buffer, mOnDisconnect, mClocks.nowNanos());
            mStream = stream;
            mResponse.complete(mResponses.streamed("text/event-stream", stream.body()));
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
