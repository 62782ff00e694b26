package dev.kumquatweir.gateway.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.configuration.ServiceRoute;
import dev.kumquatweir.core.configuration.Team;
import dev.kumquatweir.core.control.ConfigurationPort;
import dev.kumquatweir.core.control.LeasedConfiguration;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.InvalidIdentifierException;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.dispatch.DispatchDuty;
import dev.kumquatweir.gateway.dispatch.GenerationSummary;
import dev.kumquatweir.gateway.dispatch.Work;
import dev.kumquatweir.gateway.http.BodyCollector;
import dev.kumquatweir.gateway.http.BodyMemory;
import dev.kumquatweir.gateway.http.HttpResponses;
import dev.kumquatweir.gateway.http.JsonBodies;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * HTTP service for callers: completions, plain services, models, health and metrics. Authenticates
 * and parses requests and submits them through {@link Submitter}. Thread-safe.
 */
public final class CallerServer implements StreamingHttpService {
    private static final String SERVICES_PATH = "/services/";

    private final ConfigurationPort mConfiguration;
    private final Submitter mSubmitter;
    private final DispatchDuty mDispatch;
    private final SubmissionFactory mSubmissionFactory;
    private final CallerHealth mHealth;
    private final Clocks mClocks;
    private final long mMaximumBodyBytes;
    private final BodyMemory mBodyMemory;
    private final StreamKeeper mStreamKeeper;

    /**
     * Creates a server whose keep-alive loop is not started yet.
     *
     * @param instance this instance
     * @param incarnation increases with each start of the instance, so that request ids are unique
     * @param ports dependencies
     * @param clocks clocks of the process
     * @param maximumBodyBytes maximum size of a request body
     */
    public CallerServer(
            InstanceId instance,
            long incarnation,
            CallerPorts ports,
            Clocks clocks,
            long maximumBodyBytes) {
        mConfiguration = ports.configuration();
        mDispatch = ports.dispatch();
        mHealth = ports.health();
        mClocks = clocks;
        mMaximumBodyBytes = maximumBodyBytes;
        mBodyMemory = ports.bodyMemory();
        mSubmitter = new Submitter(mDispatch, ports.claims(), clocks);
        mSubmissionFactory = new SubmissionFactory(instance, incarnation);
        mStreamKeeper = new StreamKeeper(clocks);
    }

    /** Starts the keep-alive loop for idle response streams. */
    public void start() {
        mStreamKeeper.start();
    }

    /** Stops the keep-alive loop. */
    public void stop() {
        mStreamKeeper.stop();
    }

    /** Returns the number of ended requests whose outcome is not yet recorded. */
    public int pendingRecords() {
        return mSubmitter.pendingRecords();
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext context,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory responseFactory) {
        return answer(request, new HttpResponses(context, responseFactory))
                .map(response -> mHealth.draining() ? closing(response) : response);
    }

    private Single<StreamingHttpResponse> answer(
            StreamingHttpRequest request, HttpResponses responses) {
        return switch (request.path()) {
            case "/health/live" -> responses.json(200, JsonBodies.object().put("live", true));
            case "/health/ready" -> ready(responses);
            case "/metrics" -> responses.text(200, "text/plain; version=0.0.4", mHealth.metrics());
            default -> handleAuthenticated(request, responses);
        };
    }

    /** Closes the connection after the response, so that its caller turns to another instance. */
    private static StreamingHttpResponse closing(StreamingHttpResponse response) {
        return response.setHeader(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }

    private Single<StreamingHttpResponse> ready(HttpResponses responses) {
        boolean ready = mHealth.ready(mClocks.nowNanos());
        return responses.json(ready ? 200 : 503, JsonBodies.object().put("ready", ready));
    }

    private Single<StreamingHttpResponse> handleAuthenticated(
            StreamingHttpRequest request, HttpResponses responses) {
        RequestId id = mSubmissionFactory.nextId();
        return CallerHeaders.parse(request.headers())
                .flatMap(headers -> authenticate(id, request, headers, responses))
                .fold(failure -> responses.error(failure, id.value()), call -> route(call))
                .onErrorResume(
                        FailureException.class,
                        exception ->
                                exception.failure() instanceof RequestFailure failure
                                        ? responses.error(failure, id.value())
                                        : Single.failed(exception));
    }

    private Either<RequestFailure, AuthenticatedCall> authenticate(
            RequestId id,
            StreamingHttpRequest request,
            CallerHeaders headers,
            HttpResponses responses) {
        LeasedConfiguration configuration = mConfiguration.current();
        return configuration
                .document()
                .teamOfKey(headers.apiKey())
                .<Either<RequestFailure, AuthenticatedCall>>map(
                        team ->
                                Either.right(
                                        new AuthenticatedCall(
                                                id, request, headers, team, responses)))
                .orElseGet(
                        () ->
                                Either.left(
                                        EarlyRefusal.decide(
                                                new RequestFailure.NotAuthenticated(),
                                                headers.idempotencyKey(),
                                                configuration,
                                                mClocks.nowNanos())));
    }

    private Single<StreamingHttpResponse> route(AuthenticatedCall call) {
        String path = call.request().path();
        if (path.startsWith(SERVICES_PATH)) {
            return withBody(call, body -> handleServiceCall(call, body));
        }
        return switch (path) {
            case "/v1/models" ->
                    call.responses().json(200, models(mConfiguration.current().document()));
            case "/v1/chat/completions" ->
                    withBody(call, body -> handleCompletion(call, CompletionFormat.CHAT, body));
            case "/v1/completions" ->
                    withBody(call, body -> handleCompletion(call, CompletionFormat.TEXT, body));
            default -> call.failure(new RequestFailure.UnknownName("path", path));
        };
    }

    private Single<StreamingHttpResponse> withBody(
            AuthenticatedCall call, Function<HeldBody, Single<StreamingHttpResponse>> next) {
        if (mHealth.draining()) {
            return refuse(call, new RequestFailure.Draining());
        }
        // Asked once more, since the stop may begin while the body is read.
        return BodyCollector.collect(call.request().payloadBody(), mMaximumBodyBytes, mBodyMemory)
                .onErrorMap(FailureException.class, exception -> beforeClaim(call, exception))
                .flatMap(
                        body -> {
                            HeldBody held = new HeldBody(body, mBodyMemory);
                            try {
                                return mHealth.draining()
                                        ? refuse(call, new RequestFailure.Draining())
                                        : next.apply(held);
                            } finally {
                                held.releaseUnlessSubmitted();
                            }
                        });
    }

    private FailureException beforeClaim(AuthenticatedCall call, FailureException exception) {
        return exception.failure() instanceof RequestFailure failure
                ? new FailureException(refusal(call, failure, mConfiguration.current()))
                : exception;
    }

    private Single<StreamingHttpResponse> refuse(AuthenticatedCall call, RequestFailure reason) {
        return call.failure(refusal(call, reason, mConfiguration.current()));
    }

    private RequestFailure refusal(
            AuthenticatedCall call, RequestFailure reason, LeasedConfiguration configuration) {
        return EarlyRefusal.decide(
                reason, call.headers().idempotencyKey(), configuration, mClocks.nowNanos());
    }

    private Single<StreamingHttpResponse> handleCompletion(
            AuthenticatedCall call, CompletionFormat format, HeldBody body) {
        Either<RequestFailure, CompletionRequest> request =
                JsonBodies.parse(body.bytes())
                        .flatMap(node -> CompletionParser.parse(format, node));
        if (request.isLeft()) {
            return refuse(call, request.getLeft());
        }
        CompletionRequest completion = request.get();
        LeasedConfiguration configuration = mConfiguration.current();
        return mSubmissionFactory
                .completion(
                        call.id(),
                        configuration.document(),
                        call.team(),
                        call.headers(),
                        completion,
                        mClocks.nowNanos())
                .fold(
                        reason -> call.failure(refusal(call, reason, configuration)),
                        submission -> submitCompletion(call, body, completion, submission));
    }

    private Single<StreamingHttpResponse> submitCompletion(
            AuthenticatedCall call,
            HeldBody body,
            CompletionRequest completion,
            Submission submission) {
        CompletableFuture<StreamingHttpResponse> response = new CompletableFuture<>();
        long createdSeconds = TimeUnit.MILLISECONDS.toSeconds(mClocks.nowMillis());
        Runnable onDisconnect = onDisconnect(submission);
        GenerationExchange exchange =
                new GenerationExchange(
                        call.id(),
                        completion,
                        call.responses(),
                        response,
                        onDisconnect,
                        mClocks,
                        createdSeconds);
        mStreamKeeper.add(exchange);
        mSubmitter.submit(
                submission,
                body.submitted(exchange),
                (summary, text) ->
                        recordCompletion(call, completion, createdSeconds, summary, text),
                recorded -> {
                    body.release();
                    response.complete(replay(call, submission, recorded));
                });
        return Single.fromStage(response).whenCancel(onDisconnect);
    }

    private Single<StreamingHttpResponse> handleServiceCall(AuthenticatedCall call, HeldBody body) {
        String serviceTarget = call.request().requestTarget().substring(SERVICES_PATH.length());
        int slash = serviceTarget.indexOf('/');
        String name = slash < 0 ? serviceTarget : serviceTarget.substring(0, slash);
        String path = slash < 0 ? "/" : serviceTarget.substring(slash);
        LeasedConfiguration configuration = mConfiguration.current();
        Optional<ServiceRoute> route = findService(configuration.document(), name);
        if (route.isEmpty()) {
            RequestFailure unknown = new RequestFailure.UnknownName("service", name);
            return call.failure(refusal(call, unknown, configuration));
        }
        Work.ServiceCall work =
                new Work.ServiceCall(
                        call.request().method().name(),
                        path,
                        ForwardedHeaders.of(call.request().headers()),
                        body.bytes());
        return mSubmissionFactory
                .serviceCall(
                        call.id(),
                        configuration.document(),
                        call.team(),
                        call.headers(),
                        route.get(),
                        work,
                        mClocks.nowNanos())
                .fold(
                        reason -> call.failure(refusal(call, reason, configuration)),
                        submission -> submitServiceCall(call, body, submission));
    }

    private Single<StreamingHttpResponse> submitServiceCall(
            AuthenticatedCall call, HeldBody body, Submission submission) {
        CompletableFuture<StreamingHttpResponse> response = new CompletableFuture<>();
        mSubmitter.submit(
                submission,
                body.submitted(new ServiceExchange(call.id(), call.responses(), response)),
                (summary, text) -> {
                    throw new IllegalStateException(
                            "unexpected generated text from a plain service");
                },
                recorded -> {
                    body.release();
                    response.complete(replay(call, submission, recorded));
                });
        return Single.fromStage(response).whenCancel(onDisconnect(submission));
    }

    /**
     * Returns what cancels the request if its profile says so. A claimed request continues without
     * its caller, because its outcome has to be recorded. The library refers to the result as long
     * as the connection is kept, so it doesn't refer to the body of the request.
     */
    private Runnable onDisconnect(Submission submission) {
        RequestId id = submission.request().id();
        boolean cancel =
                switch (submission.request().profile().callerDisconnect()) {
                    case CANCEL -> submission.claim().isEmpty();
                    case FINISH -> false;
                };
        return () -> {
            if (cancel) {
                mDispatch.callerGone(id);
            }
        };
    }

    private static RecordedResponse recordCompletion(
            AuthenticatedCall call,
            CompletionRequest completion,
            long createdSeconds,
            GenerationSummary summary,
            String text) {
        ObjectNode body =
                completion
                        .format()
                        .completion(
                                call.id(),
                                completion.generation().model(),
                                createdSeconds,
                                text,
                                summary);
        return new RecordedResponse(200, "application/json", Bytes.ofText(body.toString()), true);
    }

    private static StreamingHttpResponse replay(
            AuthenticatedCall call, Submission submission, RecordedResponse recorded) {
        if (!recorded.complete()) {
            RequestFailure failure =
                    new RequestFailure.ResponseNotStored(submission.claim().orElseThrow().key());
            return call.responses().errorResponse(failure, call.id().value());
        }
        return call.responses().recorded(recorded).setHeader("idempotent-replayed", "true");
    }

    private static Optional<ServiceRoute> findService(ConfigurationDocument document, String name) {
        try {
            return Optional.ofNullable(document.services().get(new ServiceName(name)));
        } catch (InvalidIdentifierException exception) {
            return Optional.empty();
        }
    }

    private static ObjectNode models(ConfigurationDocument document) {
        ObjectNode root = JsonBodies.object().put("object", "list");
        ArrayNode data = root.putArray("data");
        document.profiles().values().stream()
                .flatMap(profile -> profile.models().stream())
                .distinct()
                .sorted()
                .forEach(
                        model ->
                                data.addObject()
                                        .put("id", model.value())
                                        .put("object", "model")
                                        .put("created", 0)
                                        .put("owned_by", "kumquatweir"));
        return root;
    }

    /** An authenticated request of a caller. */
    private record AuthenticatedCall(
            RequestId id,
            StreamingHttpRequest request,
            CallerHeaders headers,
            Team team,
            HttpResponses responses) {
        Single<StreamingHttpResponse> failure(RequestFailure failure) {
            return responses.error(failure, id.value());
        }
    }
}
