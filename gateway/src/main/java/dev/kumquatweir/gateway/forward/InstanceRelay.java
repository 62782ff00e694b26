package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.event.EventLog;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Sends callers' requests to another instance while this one reaches no upstream, and passes the
 * responses on unchanged. A request is sent to a second instance only if the first one could not be
 * connected to. Confined to the I/O thread.
 */
final class InstanceRelay {
    /** Marks a relayed request, which is not relayed again. Never sent to upstreams. */
    static final String MARK = "Kumquatweir-Relayed";

    private static final EventLog LOG = EventLog.of(InstanceRelay.class);
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final OptionalLong RETRY_AFTER_MILLIS = OptionalLong.of(300);

    private final ForwardingPorts mPorts;
    private final ForwardingMetrics mMetrics;

    InstanceRelay(ForwardingPorts ports, ForwardingMetrics metrics) {
        mPorts = ports;
        mMetrics = metrics;
    }

    /** No instance could be connected to, so that the request was sent nowhere. */
    private static final class NotSentException extends Exception {
        private static final long serialVersionUID = 1;
    }

    /** Returns whether a request is relayed rather than placed here. */
    boolean takes(ForwardedRequest request) {
        return mPorts.reach().othersCarry() && !request.headers().contains(MARK);
    }

    /** Returns the response of another instance, or an error of this one. */
    Single<StreamingHttpResponse> forward(ForwardedRequest request, CallerResponse callerResponse) {
        List<String> carriers = mPorts.state().carriers();
        long remainingNanos = request.deadlineNanos() - mPorts.clocks().nowNanos();
        LOG.info(
                "request_relayed",
                "request",
                request.head().requestId(),
                "route",
                request.route().name(),
                "carrier",
                carriers.getFirst());
        mMetrics.countEnded("relayed");
        return send(request, carriers)
                .timeout(
                        Math.max(1, remainingNanos),
                        TimeUnit.NANOSECONDS,
                        mPorts.clients().executor())
                .map(callerResponse::relayed)
                .onErrorResume(failure -> refuse(request, callerResponse, failure))
                .afterFinally(() -> mPorts.requestMemory().release(request.body().size()));
    }

    private Single<StreamingHttpResponse> send(ForwardedRequest request, List<String> carriers) {
        if (carriers.isEmpty()) {
            return Single.failed(new NotSentException());
        }
        StreamingHttpClient client = mPorts.clients().newClient(carriers.getFirst());
        StreamingHttpRequest relayed = newRequest(client, request);
        return client.reserveConnection(relayed)
                .map(connection -> connection.request(relayed))
                .onErrorResume(
                        failure -> {
                            client.closeAsync().subscribe();
                            return Single.succeeded(
                                    send(request, carriers.subList(1, carriers.size())));
                        })
                .flatMap(response -> response)
                .map(response -> closingAtEnd(response, client))
                .beforeOnError(failure -> client.closeAsync().subscribe())
                .beforeCancel(() -> client.closeAsync().subscribe());
    }

    private static StreamingHttpResponse closingAtEnd(
            StreamingHttpResponse response, StreamingHttpClient client) {
        return response.transformPayloadBody(
                body -> body.afterFinally(() -> client.closeAsync().subscribe()));
    }

    private StreamingHttpRequest newRequest(StreamingHttpClient client, ForwardedRequest request) {
        StreamingHttpRequest relayed = client.newRequest(request.method(), request.target());
        ForwardedHeaders.copy(request.headers(), relayed.headers());
        long remainingNanos = request.deadlineNanos() - mPorts.clocks().nowNanos();
        mPorts.dialect()
                .encodeRemaining(
                        TimeUnit.NANOSECONDS.toMillis(Math.max(0, remainingNanos)),
                        relayed.headers());
        relayed.setHeader(MARK, "1");
        int size = request.body().size();
        relayed.setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(size));
        if (size > 0) {
            Buffer content =
                    client.executionContext()
                            .bufferAllocator()
                            .wrap(request.body().asReadOnlyBuffer());
            relayed.payloadBody(Publisher.from(content));
        }
        return relayed;
    }

    private Single<StreamingHttpResponse> refuse(
            ForwardedRequest request, CallerResponse callerResponse, Throwable failure) {
        LOG.warn(
                "relay_failed",
                "request",
                request.head().requestId(),
                "problem",
                failure.getClass().getSimpleName());
        switch (failure) {
            case NotSentException _ ->
                    callerResponse.sendError(UNAVAILABLE, RETRY_AFTER_MILLIS, "no_upstream");
            case TimeoutException _ ->
                    callerResponse.sendError(GATEWAY_TIMEOUT, OptionalLong.empty(), "timeout");
            default -> callerResponse.sendError(BAD_GATEWAY, OptionalLong.empty(), "relay_failed");
        }
        return callerResponse.single(() -> {});
    }
}
