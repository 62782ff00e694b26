package dev.kumquatweir.gateway.forward;

import static io.servicetalk.concurrent.api.SourceAdapters.fromSource;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.gateway.http.JsonBodies;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import java.util.Locale;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/** The answer to one caller: whole, or a stream of events. Used on the I/O thread. */
final class CallerAnswer {
    /** Events that may wait for a caller who reads slowly; longer answers are not produced. */
    private static final int MOST_WAITING_EVENTS = 8_192;

    private final StreamingHttpResponseFactory mResponses;
    private final BufferAllocator mBuffers;
    private final boolean mCloseConnection;
    private final SingleSource.Processor<StreamingHttpResponse, StreamingHttpResponse> mAnswer =
            Processors.newSingleProcessor();
    private PublisherSource.@Nullable Processor<Buffer, Buffer> mEvents;
    private boolean mBegun;
    private boolean mEnded;

    /**
     * @param closeConnection whether the connection is closed after this answer
     */
    CallerAnswer(
            StreamingHttpResponseFactory responses,
            BufferAllocator buffers,
            boolean closeConnection) {
        mResponses = responses;
        mBuffers = buffers;
        mCloseConnection = closeConnection;
    }

    /**
     * Returns the answer for the server.
     *
     * @param onCallerGone run if the caller leaves before the answer has begun
     */
    Single<StreamingHttpResponse> single(Runnable onCallerGone) {
        return fromSource(mAnswer).beforeCancel(onCallerGone);
    }

    /** Returns whether the head of an answer has been sent. */
    boolean begun() {
        return mBegun;
    }

    /** Sends an upstream's whole answer unchanged. */
    void whole(StreamingHttpResponse upstream, Bytes body) {
        StreamingHttpResponse response = head(upstream.status(), upstream.headers());
        send(response, body);
    }

    /** Sends a failure of this system. */
    void failed(int status, OptionalLong retryAfterMillis, String reason) {
        StreamingHttpResponse response = mResponses.newResponse(HttpResponseStatus.of(status, ""));
        ObjectNode content = JsonBodies.object();
        content.putObject("error").put("type", reason);
        response.setHeader(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        retryAfterMillis.ifPresent(
                millis ->
                        response.setHeader(
                                HttpHeaderNames.RETRY_AFTER,
                                String.format(Locale.ROOT, "%.3f", millis / 1000.0)));
        send(response, Bytes.ofText(content.toString()));
    }

    /**
     * Begins a stream with the head of the upstream that answered first.
     *
     * @param onCallerGone run if the caller leaves before the stream has ended
     */
    void beginStream(StreamingHttpResponse upstream, Runnable onCallerGone) {
        PublisherSource.Processor<Buffer, Buffer> events =
                Processors.newPublisherProcessor(MOST_WAITING_EVENTS);
        mEvents = events;
        StreamingHttpResponse response = head(upstream.status(), upstream.headers());
        begin(response.payloadBody(fromSource(events).beforeCancel(onCallerGone)));
    }

    /** Sends an event of the stream. */
    void event(Bytes content) {
        PublisherSource.Processor<Buffer, Buffer> events = mEvents;
        if (events != null && !mEnded) {
            events.onNext(mBuffers.wrap(content.toArray()));
        }
    }

    /** Ends the stream as complete. */
    void complete() {
        PublisherSource.Processor<Buffer, Buffer> events = mEvents;
        if (events != null && !mEnded) {
            mEnded = true;
            events.onComplete();
        }
    }

    /** Breaks the stream off, so that it can't be taken for complete. */
    void abort(String reason) {
        PublisherSource.Processor<Buffer, Buffer> events = mEvents;
        if (events != null && !mEnded) {
            mEnded = true;
            events.onError(new StreamAbortedException(reason));
        }
    }

    private void send(StreamingHttpResponse response, Bytes body) {
        response.setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.size()));
        if (body.size() > 0) {
            response.payloadBody(Publisher.from(mBuffers.wrap(body.toArray())));
        }
        mEnded = true;
        begin(response);
    }

    private void begin(StreamingHttpResponse response) {
        if (mBegun) {
            return;
        }
        mBegun = true;
        if (mCloseConnection) {
            response.setHeader(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        mAnswer.onSuccess(response);
    }

    private StreamingHttpResponse head(HttpResponseStatus status, HttpHeaders headers) {
        StreamingHttpResponse response = mResponses.newResponse(status);
        ForwardedHeaders.copy(headers, response.headers());
        return response;
    }
}
