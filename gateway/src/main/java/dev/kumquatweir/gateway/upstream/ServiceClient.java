package dev.kumquatweir.gateway.upstream;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.gateway.dispatch.AttemptListener;
import dev.kumquatweir.gateway.dispatch.AttemptOrder;
import dev.kumquatweir.gateway.dispatch.Work;
import dev.kumquatweir.gateway.http.BodyCollector;
import dev.kumquatweir.gateway.http.ResponseFraming;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.concurrent.atomic.AtomicBoolean;

/** Calls of plain services. An answer is passed on only when it is whole. Thread-safe. */
final class ServiceClient {
    private final UpstreamClients mClients;
    private final long mLargestAnswerBytes;

    ServiceClient(UpstreamClients clients, long largestAnswerBytes) {
        mClients = clients;
        mLargestAnswerBytes = largestAnswerBytes;
    }

    /**
     * Sends a call; returns what closes its connection. A call that may not be repeated gets a new
     * connection: an idle one that the upstream has just closed would leave its outcome unknown.
     */
    Runnable call(AttemptOrder order, Work.ServiceCall work, AttemptListener listener) {
        String address = order.upstream().address();
        StreamingHttpClient client =
                order.repeatable() ? mClients.of(address) : mClients.newClient(address);
        AtomicBoolean closed = new AtomicBoolean();
        Single<RecordedResponse> answer =
                client.request(request(client, work))
                        .flatMap(response -> collect(response, listener));
        Cancellable running =
                answer.afterFinally(() -> release(order, client))
                        .subscribe(
                                listener::answered,
                                problem -> {
                                    if (!closed.get()) {
                                        AttemptProblems.report(problem, listener);
                                    }
                                });
        return () -> {
            closed.set(true);
            running.cancel();
        };
    }

    private Single<RecordedResponse> collect(
            StreamingHttpResponse response, AttemptListener listener) {
        int status = response.status().code();
        if (status > ResponseFraming.HIGHEST_STATUS) {
            return BodyCollector.drain(response.payloadBody(), mLargestAnswerBytes)
                    .concat(Single.failed(new UnexpectedAnswerException("status " + status)));
        }
        listener.accepted();
        CharSequence type = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
        String contentType = type == null ? "" : type.toString();
        return BodyCollector.collect(response.payloadBody(), mLargestAnswerBytes)
                .map(body -> new RecordedResponse(status, contentType, body, true));
    }

    private static void release(AttemptOrder order, StreamingHttpClient client) {
        if (!order.repeatable()) {
            client.closeAsync().subscribe();
        }
    }

    private static StreamingHttpRequest request(StreamingHttpClient client, Work.ServiceCall work) {
        Bytes body = work.body();
        Buffer content = client.executionContext().bufferAllocator().wrap(body.toArray());
        StreamingHttpRequest request =
                client.newRequest(
                        HttpRequestMethod.of(work.method(), HttpRequestMethod.Properties.NONE),
                        work.path());
        work.headers().forEach(header -> request.addHeader(header.name(), header.value()));
        request.setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.size()));
        return request.payloadBody(Publisher.from(content));
    }
}
