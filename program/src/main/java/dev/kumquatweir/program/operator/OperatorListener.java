package dev.kumquatweir.program.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.gateway.http.BodyCollector;
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
 * Serves operators. A request waits for the leader on a virtual thread of its own, since operators
 * send few requests; their number is bounded. Thread-safe.
 */
public final class OperatorListener implements StreamingHttpService {
    private static final EventLog LOG = EventLog.of(OperatorListener.class);
    private static final long LARGEST_BODY_BYTES = 8L * 1024 * 1024;
    private static final int MOST_AT_ONCE = 64;

    private final InstanceId mInstance;
    private final OperatorKeys mKeys;
    private final OperatorRoutes mRoutes;
    private final Semaphore mRoom = new Semaphore(MOST_AT_ONCE);

    /**
     * @param instance this instance, named in failures
     * @param operators who may ask
     * @param routes what the paths do
     */
    public OperatorListener(
            InstanceId instance, List<OperatorSettings> operators, OperatorRoutes routes) {
        mInstance = instance;
        mKeys = new OperatorKeys(operators);
        mRoutes = routes;
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext context,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory responses) {
        HttpResponses answers = new HttpResponses(context, responses);
        CharSequence header = request.headers().get(HttpHeaderNames.AUTHORIZATION);
        Optional<String> operator = mKeys.operator(header == null ? "" : header.toString());
        if (operator.isEmpty()) {
            OperatorFailure failure = new OperatorFailure.NotAuthenticated();
            LOG.failure(
                    "operator_refused",
                    failure,
                    "remote",
                    context.remoteAddress(),
                    "path",
                    request.path());
            return failed(answers, failure);
        }
        return BodyCollector.collect(request.payloadBody(), LARGEST_BODY_BYTES)
                .flatMap(body -> Single.fromStage(answer(operator.get(), request, body)))
                .flatMap(
                        answer ->
                                answer.fold(
                                        failure -> failed(answers, failure),
                                        node -> answers.json(200, node)))
                .onErrorResume(
                        FailureException.class,
                        exception ->
                                failed(answers, new OperatorFailure.TooLarge(LARGEST_BODY_BYTES)));
    }

    private CompletionStage<Either<OperatorFailure, ObjectNode>> answer(
            String operator, StreamingHttpRequest request, Bytes body) {
        if (!mRoom.tryAcquire()) {
            return CompletableFuture.completedFuture(Either.left(new OperatorFailure.Overloaded()));
        }
        Map<String, String> query = new HashMap<>();
        request.queryParameters()
                .forEach(parameter -> query.put(parameter.getKey(), parameter.getValue()));
        String route = request.method().name() + " " + request.path();
        return CompletableFuture.supplyAsync(
                        () ->
                                object(body)
                                        .map(node -> new OperatorCall(operator, route, query, node))
                                        .flatMap(mRoutes::answer),
                        task -> Thread.ofVirtual().name("operator").start(task))
                .whenComplete((answer, fault) -> mRoom.release());
    }

    private static Either<OperatorFailure, ObjectNode> object(Bytes body) {
        return body.size() == 0
                ? Either.right(JsonBodies.object())
                : JsonBodies.parse(body)
                        .mapLeft(
                                failure ->
                                        new OperatorFailure.Malformed("body", failure.message()));
    }

    private Single<StreamingHttpResponse> failed(HttpResponses answers, OperatorFailure failure) {
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
        return answers.json(failure.status(), root);
    }
}
