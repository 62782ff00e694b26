package dev.kumquatweir.gateway.upstream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.gateway.http.BodyCollector;
import dev.kumquatweir.gateway.http.HttpResponses;
import dev.kumquatweir.gateway.http.JsonBodies;
import dev.kumquatweir.policy.registry.Announcement;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/** Serves the announcements and reports of upstreams. Thread-safe. */
public final class UpstreamListener implements StreamingHttpService {
    private static final long LARGEST_BODY_BYTES = 1024 * 1024;
    private static final String BEARER = "Bearer ";

    private final byte[] mAnnounceKey;
    private final UpstreamIntake mIntake;
    private final BooleanSupplier mInTouch;

    /**
     * @param announceKey key that upstreams show
     * @param intake takes what they report
     * @param inTouch whether this instance reaches the others; if not, it refuses reports, so that
     *     upstreams turn to an instance that spreads them
     */
    public UpstreamListener(String announceKey, UpstreamIntake intake, BooleanSupplier inTouch) {
        mInTouch = inTouch;
        mAnnounceKey = announceKey.getBytes(StandardCharsets.UTF_8);
        mIntake = intake;
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext context,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory responses) {
        HttpResponses answers = new HttpResponses(context, responses);
        if (!authenticated(request)) {
            return answers.error(new RequestFailure.NotAuthenticated(), "");
        }
        if (!mInTouch.getAsBoolean()) {
            return answers.error(new RequestFailure.NoConfigurationLease(), "");
        }
        return BodyCollector.collect(request.payloadBody(), LARGEST_BODY_BYTES)
                .flatMap(body -> Single.fromStage(answer(request.path(), body)))
                .flatMap(
                        answer ->
                                answer.fold(
                                        failure -> answers.error(failure, ""),
                                        node -> answers.json(200, node)))
                .onErrorResume(
                        FailureException.class,
                        exception ->
                                exception.failure() instanceof RequestFailure failure
                                        ? answers.error(failure, "")
                                        : Single.failed(exception));
    }

    private CompletionStage<Either<RequestFailure, ObjectNode>> answer(String path, Bytes body) {
        return switch (path) {
            case "/upstream/v1/announce" ->
                    parsed(body, ReportParser::announcement)
                            .fold(UpstreamListener::failed, this::announced);
            case "/upstream/v1/heartbeat" ->
                    parsed(body, ReportParser::load)
                            .fold(
                                    UpstreamListener::failed,
                                    report -> flag("announce", mIntake.reported(report)));
            case "/upstream/v1/cache-events" ->
                    parsed(body, ReportParser::cacheEvents)
                            .fold(
                                    UpstreamListener::failed,
                                    events -> flag("resync", mIntake.cacheChanged(events)));
            case "/upstream/v1/leave" ->
                    parsed(body, ReportParser::leave).fold(UpstreamListener::failed, this::left);
            default -> failed(new RequestFailure.UnknownName("path", path));
        };
    }

    private CompletionStage<Either<RequestFailure, ObjectNode>> announced(
            Announcement announcement) {
        mIntake.announced(announcement);
        return done();
    }

    private CompletionStage<Either<RequestFailure, ObjectNode>> left(ReportParser.Leave leave) {
        mIntake.left(leave.id(), leave.incarnation());
        return done();
    }

    private boolean authenticated(StreamingHttpRequest request) {
        CharSequence header = request.headers().get(HttpHeaderNames.AUTHORIZATION);
        String value = header == null ? "" : header.toString();
        String key = value.startsWith(BEARER) ? value.substring(BEARER.length()) : "";
        return MessageDigest.isEqual(key.getBytes(StandardCharsets.UTF_8), mAnnounceKey);
    }

    private static <T> Either<RequestFailure, T> parsed(
            Bytes body, Function<ObjectNode, Either<RequestFailure, T>> reader) {
        return JsonBodies.parse(body).flatMap(reader);
    }

    private static CompletionStage<Either<RequestFailure, ObjectNode>> flag(
            String key, CompletionStage<Boolean> accepted) {
        return accepted.thenApply(known -> Either.right(JsonBodies.object().put(key, !known)));
    }

    private static CompletionStage<Either<RequestFailure, ObjectNode>> done() {
        return CompletableFuture.completedFuture(Either.right(JsonBodies.object()));
    }

    private static CompletionStage<Either<RequestFailure, ObjectNode>> failed(
            RequestFailure failure) {
        return CompletableFuture.completedFuture(Either.left(failure));
    }
}
