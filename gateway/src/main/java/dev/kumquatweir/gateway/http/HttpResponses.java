package dev.kumquatweir.gateway.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.failure.RequestFailure;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;

/** Creates the HTTP responses to one request. */
public final class HttpResponses {
    private static final String JSON_TYPE = "application/json";

    private final HttpServiceContext mContext;
    private final StreamingHttpResponseFactory mResponses;

    /** Creates responses that use the allocator and factory of a request. */
    public HttpResponses(HttpServiceContext context, StreamingHttpResponseFactory responses) {
        mContext = context;
        mResponses = responses;
    }

    /** Returns a JSON response. */
    public Single<StreamingHttpResponse> json(int status, ObjectNode body) {
        return Single.succeeded(full(status, JSON_TYPE, Bytes.ofText(body.toString())));
    }

    /** Returns a text response with the given content type. */
    public Single<StreamingHttpResponse> text(int status, String contentType, String body) {
        return Single.succeeded(full(status, contentType, Bytes.ofText(body)));
    }

    /** Returns a recorded response unchanged. */
    public StreamingHttpResponse recorded(RecordedResponse recorded) {
        return full(recorded.status(), recorded.contentType(), recorded.body());
    }

    /** Returns the error response for a failure, see {@link #errorResponse}. */
    public Single<StreamingHttpResponse> error(RequestFailure failure, String requestId) {
        return Single.succeeded(errorResponse(failure, requestId));
    }

    /** Returns the error response for a failure, with Retry-After where a retry may help. */
    public StreamingHttpResponse errorResponse(RequestFailure failure, String requestId) {
        Bytes body = Bytes.ofText(ErrorResponse.body(failure, requestId).toString());
        StreamingHttpResponse response = full(ErrorResponse.status(failure), JSON_TYPE, body);
        ErrorResponse.retryAfterMillis(failure)
                .ifPresent(
                        millis ->
                                response.setHeader(
                                        HttpHeaderNames.RETRY_AFTER,
                                        Long.toString(ErrorResponse.retryAfterSeconds(millis))));
        return response;
    }

    /** Returns a JSON response. */
    public StreamingHttpResponse full(int status, ObjectNode body) {
        return full(status, JSON_TYPE, Bytes.ofText(body.toString()));
    }

    /** Returns a response with status 200 whose body is streamed. */
    public StreamingHttpResponse streamed(String contentType, Publisher<Buffer> body) {
        return mResponses
                .newResponse(HttpResponseStatus.OK)
                .setHeader(HttpHeaderNames.CONTENT_TYPE, contentType)
                .setHeader(HttpHeaderNames.CACHE_CONTROL, "no-store")
                .payloadBody(body);
    }

    /** Returns a text as a UTF-8 buffer of the HTTP library. */
    public Buffer buffer(String text) {
        return mContext.executionContext().bufferAllocator().fromUtf8(text);
    }

    private StreamingHttpResponse full(int status, String contentType, Bytes body) {
        StreamingHttpResponse response =
                mResponses
                        .newResponse(HttpResponseStatus.of(status, ""))
                        .setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.size()));
        if (!contentType.isEmpty()) {
            response.setHeader(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        Buffer content = mContext.executionContext().bufferAllocator().wrap(body.toArray());
        return response.payloadBody(Publisher.from(content));
    }
}
