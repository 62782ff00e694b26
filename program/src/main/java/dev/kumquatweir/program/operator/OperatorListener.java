package dev.kumquatweir.program.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.gateway.http.BodyCollector;
import dev.kumquatweir.gateway.http.CallerPresence;
import dev.kumquatweir.gateway.http.HttpResponses;
import dev.kumquatweir.gateway.http.JsonBodies;
import dev.kumquatweir.settings.OperatorSettings;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Semaphore;

/**
 * HTTP service of the operator API: authenticates requests and passes them to {@link
 * OperatorRoutes}. Each request runs on its own virtual thread, where it may block on the leader;
 * operators send few requests, and the number of concurrent ones is bounded. Thread-safe.
 */
public final class OperatorListener implements StreamingHttpService {
    private static final EventLog LOG = EventLog.of(OperatorListener.class);
    private static final long MAX_BODY_BYTES = 8L * 1024 * 1024;
    private static final int MAX_CONCURRENT_REQUESTS = 64;

    private final InstanceId mInstance;
    private final OperatorAuthenticator mAuthenticator;
    private final OperatorRoutes mRoutes;
    private final Semaphore mPermits = new Semaphore(MAX_CONCURRENT_REQUESTS);

    /**
     * @param instance id of this instance, written to error responses
     * @param operators operators that are allowed to send requests
     * @param routes handlers of the paths
     */
    public OperatorListener(
            InstanceId instance, List<OperatorSettings> operators, OperatorRoutes routes) {
        mInstance = instance;
        mAuthenticator = new OperatorAuthenticator(operators);
        mRoutes = routes;
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext context,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory responses) {
        CallerPresence.disableHalfClosure(context);
        HttpResponses httpResponses = new HttpResponses(context, responses);
        CharSequence authorization = request.headers().get(HttpHeaderNames.AUTHORIZATION);
        Optional<String> operator =
                mAuthenticator.authenticate(authorization == null ? "" : authorization.toString());
        if (operator.isEmpty()) {
            OperatorFailure failure = new OperatorFailure.NotAuthenticated();
            LOG.failure(
                    "operator_refused",
                    failure,
                    "remote",
                    context.remoteAddress(),
                    "path",
                    request.path());
            return errorResponse(httpResponses, failure);
        }
        return BodyCollector.collect(request.payloadBody(), MAX_BODY_BYTES)
                .flatMap(
                        body ->
                                CallerPresence.closeNoticed(context)
                                        .concat(
                                                Single.defer(
                                                        () ->
                                                                Single.fromStage(
                                                                        handleOnVirtualThread(
                                                                                operator.get(),
                                                                                context,
                                                                                request,
                                                                                body)))))
                .flatMap(
                        result ->
                                result.fold(
                                        failure -> errorResponse(httpResponses, failure),
                                        node -> httpResponses.json(200, node)))
                .onErrorResume(
                        FailureException.class,
                        exception ->
                                errorResponse(
                                        httpResponses,
                                        new OperatorFailure.TooLarge(MAX_BODY_BYTES)));
    }

    private CompletionStage<Either<OperatorFailure, ObjectNode>> handleOnVirtualThread(
            String operator, HttpServiceContext context, StreamingHttpRequest request, Bytes body) {
        if (!mPermits.tryAcquire()) {
            return CompletableFuture.completedFuture(Either.left(new OperatorFailure.Overloaded()));
        }
        Map<String, String> query = new HashMap<>();
        request.queryParameters()
                .forEach(parameter -> query.put(parameter.getKey(), parameter.getValue()));
        String route = request.method().name() + " " + request.path();
        return CompletableFuture.supplyAsync(
                        () ->
                                parseBody(body)
                                        .map(
                                                node ->
                                                        new OperatorCall(
                                                                operator,
                                                                route,
                                                                query,
                                                                node,
                                                                () ->
                                                                        CallerPresence.waits(
                                                                                context)))
                                        .flatMap(mRoutes::handle),
                        task -> Thread.ofVirtual().name("operator").start(task))
                .whenComplete((result, fault) -> mPermits.release());
    }

    private static Either<OperatorFailure, ObjectNode> parseBody(Bytes body) {
        return body.size() == 0
                ? Either.right(JsonBodies.object())
                : JsonBodies.parse(body)
                        .mapLeft(
                                failure ->
                                        new OperatorFailure.Malformed("body", failure.message()));
    }

    private Single<StreamingHttpResponse> errorResponse(
            HttpResponses httpResponses, OperatorFailure failure) {
        ObjectNode root = JsonBodies.object();
        ObjectNode error = root.putObject("error");
        error.put("type", failure.code());
        error.put("message", failure.message());
        error.put("instance", mInstance.value());
        if (failure instanceof OperatorFailure.Conflict conflict) {
            error.put("base_version", conflict.baseVersion());
            error.put("current_version", conflict.currentVersion());
            error.put("changed_by", conflict.changedBy());
            error.put("changed_at_ms", conflict.changedAtMillis());
            conflict.difference()
                    .ifPresent(
                            difference ->
                                    ConfigurationEdits.writeDifference(
                                            error.putArray("difference"), difference));
        }
        return httpResponses.json(failure.status(), root);
    }
}
