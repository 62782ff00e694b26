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
final class CallerResponse {
    /** Events that may wait for a caller who reads slowly; longer answers are not produced. */
    private static final int MAXIMUM_BUFFERED_EVENTS = 8_192;

    private final StreamingHttpResponseFactory mResponses;
    private final BufferAllocator mBuffers;
    private final boolean mCloseConnection;
    private final SingleSource.Processor<StreamingHttpResponse, StreamingHttpResponse> mResponse =
            Processors.newSingleProcessor();
    private PublisherSource.@Nullable Processor<Buffer, Buffer> mEvents;
    private boolean mStarted;
    private boolean mEnded;

    /**
     * @param closeConnection whether the connection is closed after this answer
     */
    CallerResponse(
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
     * @param onDisconnect run if the caller leaves before the answer has begun
     */
    Single<StreamingHttpResponse> single(Runnable onDisconnect) {
        return fromSource(mResponse).beforeCancel(onDisconnect);
    }

    /** Returns whether the head of an answer has been sent. */
    boolean isStarted() {
        return mStarted;
    }

    /** Sends an upstream's whole answer unchanged. */
    void sendFull(StreamingHttpResponse upstream, Bytes body) {
        StreamingHttpResponse response = newResponse(upstream.status(), upstream.headers());
        send(response, body);
    }

    /** Sends a failure of this system. */
    void sendError(int status, OptionalLong retryAfterMillis, String reason) {
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
     * @param onDisconnect run if the caller leaves before the stream has ended
     */
    void startStream(StreamingHttpResponse upstream, Runnable onDisconnect) {
        PublisherSource.Processor<Buffer, Buffer> events =
                Processors.newPublisherProcessor(MAXIMUM_BUFFERED_EVENTS);
        mEvents = events;
        StreamingHttpResponse response = newResponse(upstream.status(), upstream.headers());
        start(response.payloadBody(fromSource(events).beforeCancel(onDisconnect)));
    }

    /** Sends an event of the stream. */
    void sendEvent(Bytes content) {
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
        start(response);
    }

    private void start(StreamingHttpResponse response) {
        if (mStarted) {
            return;
        }
        mStarted = true;
        if (mCloseConnection) {
            response.setHeader(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        mResponse.onSuccess(response);
    }

    private StreamingHttpResponse newResponse(HttpResponseStatus status, HttpHeaders headers) {
        StreamingHttpResponse response = mResponses.newResponse(status);
        ForwardedHeaders.copy(headers, response.headers());
        return response;
    }
}
