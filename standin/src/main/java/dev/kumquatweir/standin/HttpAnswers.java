package dev.kumquatweir.standin;

import dev.kumquatweir.standin.model.EngineRefusal;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.vavr.control.Either;

/**
 * Makes the answers of one call. Immutable.
 *
 * @param factory makes responses
 * @param allocator makes buffers
 */
record HttpAnswers(StreamingHttpResponseFactory factory, BufferAllocator allocator) {
    static final int OK = 200;
    static final int ACCEPTED = 202;
    static final int NOT_FOUND = 404;

    StreamingHttpResponse json(int status, Object value) {
        byte[] body = Json.write(value);
        StreamingHttpResponse response = factory.newResponse(HttpResponseStatus.of(status, ""));
        response.setHeader(HttpHeaderNames.CONTENT_TYPE, "application/json");
        response.setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
        return response.payloadBody(Publisher.from(allocator.wrap(body)));
    }

    StreamingHttpResponse refusal(EngineRefusal refusal) {
        return json(refusal.status(), ErrorBody.of(refusal));
    }

    StreamingHttpResponse either(Either<EngineRefusal, ?> result) {
        return result.fold(this::refusal, value -> json(OK, value));
    }

    StreamingHttpResponse events(Publisher<Buffer> events) {
        StreamingHttpResponse response = factory.ok();
        response.setHeader(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        response.setHeader(HttpHeaderNames.CACHE_CONTROL, "no-store");
        return response.payloadBody(events);
    }

    static byte[] bytes(HttpRequest request) {
        byte[] body = new byte[request.payloadBody().readableBytes()];
        request.payloadBody().readBytes(body);
        return body;
    }
}
