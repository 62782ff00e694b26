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
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * The response to one caller: either sent in full or streamed event by event. Confined to the I/O
 * thread.
 */
final class CallerResponse {
    /** Bound on events buffered for a slow reader; a stream that exceeds it is aborted. */
    private static final int MAXIMUM_BUFFERED_EVENTS = 8_192;

    private final StreamingHttpResponseFactory mResponses;
    private final BufferAllocator mBuffers;
    private final HeldResponse mHeld;
    private final BooleanSupplier mCloseConnection;
    private final SingleSource.Processor<StreamingHttpResponse, StreamingHttpResponse> mResponse =
            Processors.newSingleProcessor();
    private PublisherSource.@Nullable Processor<Buffer, Buffer> mEvents;
    private Runnable mOnDisconnect = () -> {};
    private boolean mStarted;
    private boolean mEnded;

    /**
     * @param held counts what the caller has not taken
     * @param closeConnection asked at the start of the response whether the connection is closed
     *     after it
     */
    CallerResponse(
            StreamingHttpResponseFactory responses,
            BufferAllocator buffers,
            HeldResponse held,
            BooleanSupplier closeConnection) {
        mResponses = responses;
        mBuffers = buffers;
        mHeld = held;
        mCloseConnection = closeConnection;
    }

    /**
     * Returns the response for the HTTP server.
     *
     * @param onDisconnect run if the caller disconnects before the response has started
     */
    Single<StreamingHttpResponse> single(Runnable onDisconnect) {
        mOnDisconnect = onDisconnect;
        return fromSource(mResponse).beforeCancel(this::disconnected);
    }

    private void disconnected() {
        mOnDisconnect.run();
    }

    /**
     * Drops what is to run if the caller disconnects. The HTTP library refers to this response as
     * long as its connection is kept, which would hold the request and its body as well.
     */
    void forgetRequest() {
        mOnDisconnect = () -> {};
    }

    /** Returns whether the status and headers have been sent. */
    boolean isStarted() {
        return mStarted;
    }

    /** Sends an upstream's complete response, without the headers of its connection. */
    void sendFull(StreamingHttpResponse upstream, Bytes body) {
        StreamingHttpResponse response = newResponse(upstream.status(), upstream.headers());
        send(response, body);
    }

    /**
     * Sends an error response of this system.
     *
     * @param retryAfterMillis value of the Retry-After header, which is written in seconds with
     *     three decimals; empty to omit it
     * @param reason type of the error in the JSON body
     */
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

    /** Returns the response of another instance, without the headers of its connection. */
    StreamingHttpResponse relayed(StreamingHttpResponse response) {
        StreamingHttpResponse relayed = newResponse(response.status(), response.headers());
        CharSequence length = response.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (length != null) {
            relayed.setHeader(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        if (mCloseConnection.getAsBoolean()) {
            relayed.setHeader(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return relayed.payloadBody(response.payloadBody());
    }

    /**
     * Starts a stream with the status and headers of the first upstream that sent an event.
     *
     * @param onDisconnect run if the caller disconnects before the stream has ended
     */
    void startStream(StreamingHttpResponse upstream, Runnable onDisconnect) {
        PublisherSource.Processor<Buffer, Buffer> events =
                Processors.newPublisherProcessor(MAXIMUM_BUFFERED_EVENTS);
        mEvents = events;
        StreamingHttpResponse response = newResponse(upstream.status(), upstream.headers());
        mOnDisconnect = onDisconnect;
        Publisher<Buffer> body = mHeld.releasing(fromSource(events));
        start(response.payloadBody(body.beforeCancel(this::disconnected)));
    }

    /**
     * Sends an event of the stream. Returns false if the caller reads so slowly that the buffer or
     * the memory for responses is full; the event is lost then, and the stream has to be aborted.
     */
    boolean sendEvent(Bytes content) {
        PublisherSource.Processor<Buffer, Buffer> events = mEvents;
        if (events != null && !mEnded) {
            if (!mHeld.add(content.size())) {
                return false;
            }
            try {
                events.onNext(mBuffers.wrap(content.toArray()));
            } catch (RuntimeException bufferFull) {
                return false;
            }
        }
        return true;
    }

    /** Ends the stream as complete. */
    void complete() {
        PublisherSource.Processor<Buffer, Buffer> events = mEvents;
        if (events != null && !mEnded) {
            mEnded = true;
            events.onComplete();
        }
    }

    /** Aborts the stream with an error, so that the caller does not take it for complete. */
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
            response.payloadBody(mHeld.pieces(body, mBuffers));
        }
        mEnded = true;
        start(response);
    }

    private void start(StreamingHttpResponse response) {
        if (mStarted) {
            return;
        }
        mStarted = true;
        if (mCloseConnection.getAsBoolean()) {
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
