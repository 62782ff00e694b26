package dev.kumquatweir.gateway.upstream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.gateway.http.BodyCollector;
import dev.kumquatweir.gateway.http.JsonBodies;
import dev.kumquatweir.gateway.oversize.KvAnswer;
import dev.kumquatweir.gateway.oversize.KvCalls;
import dev.kumquatweir.policy.registry.Announcement;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/** The calls of the engine protocol that move KV caches. Thread-safe. */
public final class KvClient implements KvCalls {
    private static final int SUCCESS = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final long LARGEST_ANSWER_BYTES = 16 * 1024;

    /** An import only makes a reference, so a longer wait means a silent connection. */
    private static final long LIMIT_SECONDS = 10;

    private final UpstreamClients mClients;

    /**
     * @param clients HTTP clients; closed by their owner
     */
    public KvClient(UpstreamClients clients) {
        mClients = clients;
    }

    @Override
    public CompletionStage<KvAnswer> export(Announcement engine, AttemptId attempt) {
        ObjectNode body = JsonBodies.object().put("attempt", attempt.value());
        return call(engine, "/engine/v1/kv/export", body);
    }

    @Override
    public CompletionStage<KvAnswer> importKv(
            Announcement target, String handle, Announcement source) {
        ObjectNode body = JsonBodies.object().put("handle", handle).put("source", source.address());
        return call(target, "/engine/v1/kv/import", body);
    }

    @Override
    public CompletionStage<KvAnswer> release(Announcement engine, String handle) {
        ObjectNode body = JsonBodies.object().put("handle", handle);
        return call(engine, "/engine/v1/kv/release", body);
    }

    private CompletionStage<KvAnswer> call(Announcement engine, String path, ObjectNode body) {
        StreamingHttpClient client = mClients.of(engine.address());
        return client.request(EngineClient.post(client, path, body))
                .flatMap(KvClient::read)
                .timeout(LIMIT_SECONDS, TimeUnit.SECONDS)
                .onErrorReturn(problem -> unknown(problem.getClass().getSimpleName()))
                .toCompletionStage();
    }

    private static Single<KvAnswer> read(StreamingHttpResponse response) {
        int status = response.status().code();
        return BodyCollector.collect(response.payloadBody(), LARGEST_ANSWER_BYTES)
                .map(
                        content ->
                                JsonBodies.parse(content)
                                        .fold(
                                                failure -> unknown("unreadable"),
                                                body -> answer(status, body)));
    }

    private static KvAnswer answer(int status, ObjectNode body) {
        return switch (status) {
            case SUCCESS -> new KvAnswer.Done(body.path("handle").asText());
            case NOT_FOUND, CONFLICT ->
                    new KvAnswer.Refused(body.path("error").path("type").asText());
            default -> unknown("status " + status);
        };
    }

    private static KvAnswer unknown(String problem) {
        return new KvAnswer.Unknown(problem);
    }
}
