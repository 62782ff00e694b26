package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.routing.Route;
import dev.kumquatweir.core.routing.RoutedTeam;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.gateway.http.BodyCollector;
import dev.kumquatweir.gateway.http.CallerPresence;
import io.netty.util.Attribute;
import io.netty.util.AttributeKey;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * HTTP service of an entry instance for forwarded requests: matches the route, checks the API key,
 * reads the body and starts an {@link Exchange}. Called on the I/O thread.
 */
public final class ForwardingServer implements StreamingHttpService {
    private static final EventLog LOG = EventLog.of(ForwardingServer.class);
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int PAYLOAD_TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;
    private static final long NO_ROUTING_RETRY_AFTER_MILLIS = 500;

    /** Limit for a body while the limit of the routing table is not known. */
    private static final long HELD_BODY_LIMIT_BYTES = 8L << 20;

    private final ExchangeRegistry mExchanges;
    private static final AttributeKey<Integer> REQUESTS_ON_CONNECTION =
            AttributeKey.valueOf(ForwardingServer.class, "requests");

    /** Creates a server that registers its requests with the given registry. */
    public ForwardingServer(ExchangeRegistry exchanges) {
        mExchanges = exchanges;
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext context,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory responses) {
        CallerPresence.disableHalfClosure(context);
        int requestsOnConnection = countRequest(context);
        CallerRequestHead head = mExchanges.ports().dialect().decodeRequest(request);
        CallerResponse callerResponse =
                new CallerResponse(
                        responses,
                        context.executionContext().bufferAllocator(),
                        new HeldResponse(mExchanges.ports().responseMemory(), context.onClose()),
                        mExchanges.stops()::stopping);
        Arrival arrival =
                new Arrival(request, head, callerResponse, mExchanges.ports().clocks().nowNanos());
        if (mExchanges.stops().stopping()) {
            logDuringStop(arrival, requestsOnConnection);
        }
        Optional<RoutingTable> routing = mExchanges.ports().state().routing();
        return routing.isPresent()
                ? route(
                        arrival,
                        routing.get(),
                        () ->
                                BodyCollector.collect(
                                        request.payloadBody(),
                                        routing.get().limits().maximumBodyBytes(),
                                        mExchanges.ports().requestMemory()),
                        request)
                : holdUntilRouted(arrival);
    }

    private void logDuringStop(Arrival arrival, int requestsOnConnection) {
        LOG.info(
                "request_during_stop",
                "request",
                arrival.head().requestId(),
                "stopping_ms",
                mExchanges.stops().stoppingMillis(arrival.nanos()),
                "connection_requests",
                requestsOnConnection);
        mExchanges.metrics().countDuringStop();
    }

    /** A request and when it arrived. */
    private record Arrival(
            StreamingHttpRequest request,
            CallerRequestHead head,
            CallerResponse callerResponse,
            long nanos) {}

    /** Reads the body, so that the caller sees progress, and waits for a routing table. */
    private Single<StreamingHttpResponse> holdUntilRouted(Arrival arrival) {
        long untilNanos =
                HeldRequests.holdUntilNanos(arrival.head().remainingMillis(), arrival.nanos());
        LOG.info(
                "request_held",
                "request",
                arrival.head().requestId(),
                "reason",
                "no_configuration",
                "hold_ms",
                TimeUnit.NANOSECONDS.toMillis(untilNanos - arrival.nanos()));
        return BodyCollector.collect(arrival.request().payloadBody(), HELD_BODY_LIMIT_BYTES)
                .flatMap(
                        body ->
                                mExchanges
                                        .held()
                                        .hold(body.size(), untilNanos)
                                        .flatMap(routed -> afterHold(arrival, body)))
                .onErrorResume(FailureException.class, failure -> refuseBody(arrival, failure));
    }

    private Single<StreamingHttpResponse> afterHold(Arrival arrival, Bytes body) {
        Optional<RoutingTable> routing = mExchanges.ports().state().routing();
        if (routing.isEmpty()) {
            return refuse(
                    null,
                    arrival.head(),
                    arrival.callerResponse(),
                    UNAVAILABLE,
                    "no_configuration",
                    NO_ROUTING_RETRY_AFTER_MILLIS);
        }
        if (body.size() > routing.get().limits().maximumBodyBytes()) {
            return refuseLargeBody(arrival);
        }
        return route(arrival, routing.get(), () -> reserved(body), null);
    }

    private Single<Bytes> reserved(Bytes body) {
        return mExchanges.ports().requestMemory().grow(0, body.size())
                ? Single.succeeded(body)
                : Single.failed(
                        new FailureException(
                                new RequestFailure.BodyMemoryFull(NO_ROUTING_RETRY_AFTER_MILLIS)));
    }

    private Single<StreamingHttpResponse> refuseBody(Arrival arrival, FailureException exception) {
        return exception.failure() instanceof RequestFailure.BodyMemoryFull full
                ? refuse(
                        null,
                        arrival.head(),
                        arrival.callerResponse(),
                        UNAVAILABLE,
                        "body_memory_full",
                        full.retryAfterMillis())
                : refuseLargeBody(arrival);
    }

    private Single<StreamingHttpResponse> refuseLargeBody(Arrival arrival) {
        return refuse(
                null,
                arrival.head(),
                arrival.callerResponse(),
                PAYLOAD_TOO_LARGE,
                "body_too_large",
                0);
    }

    /**
     * @param unread the request if its body was not read yet, else null
     */
    private Single<StreamingHttpResponse> route(
            Arrival arrival,
            RoutingTable routing,
            Supplier<Single<Bytes>> body,
            @Nullable StreamingHttpRequest unread) {
        CallerRequestHead head = arrival.head();
        CallerResponse callerResponse = arrival.callerResponse();
        Optional<Route> route = routing.match(head.host(), head.path());
        if (route.isEmpty()) {
            return refuse(unread, head, callerResponse, NOT_FOUND, "no_route", 0);
        }
        boolean keyRequired = routing.requiresApiKey(route.get());
        Optional<RoutedTeam> team = head.apiKey().flatMap(routing::teamOfKey);
        if (keyRequired && team.isEmpty()) {
            return refuse(unread, head, callerResponse, UNAUTHORIZED, "unknown_key", 0);
        }
        ServiceName service = route.get().selectService(head.requestId().hashCode());
        if (service == null) {
            return refuse(unread, head, callerResponse, NOT_FOUND, "no_service", 0);
        }
        Optional<RoutedTeam> effectiveTeam = keyRequired ? team : Optional.empty();
        return body.get()
                .flatMap(content -> forward(arrival, route.get(), service, effectiveTeam, content))
                .onErrorResume(FailureException.class, failure -> refuseBody(arrival, failure));
    }

    private Single<StreamingHttpResponse> forward(
            Arrival arrival,
            Route route,
            ServiceName service,
            Optional<RoutedTeam> team,
            Bytes body) {
        StreamingHttpRequest request = arrival.request();
        CallerRequestHead head = arrival.head();
        CallerResponse callerResponse = arrival.callerResponse();
        long nowNanos = arrival.nanos();
        long timeLimitMillis =
                Math.min(head.remainingMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
        ForwardedRequest forwarded =
                new ForwardedRequest(
                        head,
                        request.method(),
                        request.requestTarget(),
                        request.headers(),
                        body,
                        route,
                        service,
                        team,
                        nowNanos,
                        nowNanos + TimeUnit.MILLISECONDS.toNanos(timeLimitMillis));
        if (!mExchanges.stops().stopping() && mExchanges.relay().takes(forwarded)) {
            return mExchanges.relay().forward(forwarded, callerResponse);
        }
        Exchange exchange = mExchanges.register(forwarded, callerResponse);
        Single<StreamingHttpResponse> response =
                callerResponse.single(exchange::callerDisconnected);
        exchange.start();
        return response;
    }

    private Single<StreamingHttpResponse> refuse(
            @Nullable StreamingHttpRequest request,
            CallerRequestHead head,
            CallerResponse callerResponse,
            int status,
            String reason,
            long retryAfterMillis) {
        LOG.info(
                "request_refused",
                "request",
                head.requestId(),
                "status",
                status,
                "reason",
                reason,
                "routing_version",
                mExchanges.ports().state().routing().map(RoutingTable::version).orElse(0L));
        mExchanges.metrics().countEnded(reason);
        OptionalLong retryAfter =
                retryAfterMillis > 0 ? OptionalLong.of(retryAfterMillis) : OptionalLong.empty();
        callerResponse.sendError(status, retryAfter, reason);
        Single<StreamingHttpResponse> response = callerResponse.single(() -> {});
        // Drains the body of the request first, so that the connection can be reused.
        return request == null
                ? response
                : request.payloadBody().ignoreElements().onErrorComplete().concat(response);
    }

    /** Returns how many requests the connection has carried, this one included. */
    private static int countRequest(HttpServiceContext context) {
        if (!(context instanceof NettyConnectionContext connection)) {
            return 1;
        }
        Attribute<Integer> requests = connection.nettyChannel().attr(REQUESTS_ON_CONNECTION);
        Integer before = requests.get();
        int count = before == null ? 1 : before + 1;
        requests.set(count);
        return count;
    }
}
