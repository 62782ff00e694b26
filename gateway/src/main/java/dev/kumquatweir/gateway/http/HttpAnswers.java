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

/** Makes whole HTTP answers for one request. */
public final class HttpAnswers {
    private static final String JSON_TYPE = "application/json";

    private final HttpServiceContext mContext;
    private final StreamingHttpResponseFactory mResponses;

    /** Makes answers in the context of a request. */
    public HttpAnswers(HttpServiceContext context, StreamingHttpResponseFactory responses) {
        mContext = context;
        mResponses = responses;
    }

    /** Returns a JSON answer. */
    public Single<StreamingHttpResponse> json(int status, ObjectNode body) {
        return Single.succeeded(whole(status, JSON_TYPE, Bytes.ofText(body.toString())));
    }

    /** Returns a text answer of a given type. */
    public Single<StreamingHttpResponse> text(int status, String contentType, String body) {
        return Single.succeeded(whole(status, contentType, Bytes.ofText(body)));
    }

    /** Returns an answer as it was recorded. */
    public StreamingHttpResponse recorded(RecordedResponse answer) {
        return whole(answer.status(), answer.contentType(), answer.body());
    }

    /** Returns the answer of a failure. */
    public Single<StreamingHttpResponse> failure(RequestFailure failure, String requestId) {
        return Single.succeeded(failed(failure, requestId));
    }

    /** Returns the answer of a failure. */
    public StreamingHttpResponse failed(RequestFailure failure, String requestId) {
        Bytes body = Bytes.ofText(ErrorAnswer.body(failure, requestId).toString());
        StreamingHttpResponse response = whole(ErrorAnswer.status(failure), JSON_TYPE, body);
        ErrorAnswer.retryAfterMillis(failure)
                .ifPresent(
                        millis ->
                                response.setHeader(
                                        HttpHeaderNames.RETRY_AFTER,
                                        Long.toString(ErrorAnswer.retryAfterSeconds(millis))));
        return response;
    }

    /** Returns a JSON answer. */
    public StreamingHttpResponse whole(int status, ObjectNode body) {
        return whole(status, JSON_TYPE, Bytes.ofText(body.toString()));
    }

    /** Returns an answer whose body comes piece by piece. */
    public StreamingHttpResponse streamed(String contentType, Publisher<Buffer> body) {
        return mResponses
                .newResponse(HttpResponseStatus.OK)
                .setHeader(HttpHeaderNames.CONTENT_TYPE, contentType)
                .setHeader(HttpHeaderNames.CACHE_CONTROL, "no-store")
                .payloadBody(body);
    }

    /** Returns a text as the library's buffer. */
    public Buffer buffer(String text) {
        return mContext.executionContext().bufferAllocator().fromUtf8(text);
    }

    private StreamingHttpResponse whole(int status, String contentType, Bytes body) {
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
