package dev.kumquatweir.gateway.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.InvalidIdentifierException;
import dev.kumquatweir.gateway.http.BodyCollector;
import dev.kumquatweir.gateway.http.JsonBodies;
import dev.kumquatweir.gateway.memory.EngineMemory;
import dev.kumquatweir.policy.memory.EngineListing;
import dev.kumquatweir.policy.registry.Announcement;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/** The part of the engine protocol that lists and frees memory. Thread-safe. */
public final class HttpEngineMemory implements EngineMemory {
    private static final EventLog LOG = EventLog.of(HttpEngineMemory.class);
    private static final int SUCCESS = 200;

    /** Room for about 40,000 entries. */
    private static final long LARGEST_LISTING_BYTES = 4 * 1024 * 1024;

    private static final long LARGEST_ANSWER_BYTES = 16 * 1024;
    private static final long LIMIT_SECONDS = 2;

    private final UpstreamClients mClients;

    /**
     * @param clients HTTP clients; closed by their owner
     */
    public HttpEngineMemory(UpstreamClients clients) {
        mClients = clients;
    }

    @Override
    public CompletionStage<EngineListing> list(Announcement engine) {
        StreamingHttpClient client = mClients.of(engine.address());
        return ask(client, client.get("/engine/v1/requests"), LARGEST_LISTING_BYTES)
                .map(body -> listing(engine, body))
                .toCompletionStage();
    }

    @Override
    public CompletionStage<Boolean> cancel(Announcement engine, AttemptId attempt) {
        ObjectNode body = JsonBodies.object().put("attempt", attempt.value());
        return order(engine, "/engine/v1/cancel", body, "cancelled");
    }

    @Override
    public CompletionStage<Boolean> release(Announcement engine, String handle) {
        ObjectNode body = JsonBodies.object().put("handle", handle);
        return order(engine, "/engine/v1/kv/release", body, "released");
    }

    private CompletionStage<Boolean> order(
            Announcement engine, String path, ObjectNode body, String done) {
        StreamingHttpClient client = mClients.of(engine.address());
        return ask(client, EngineClient.post(client, path, body), LARGEST_ANSWER_BYTES)
                .map(answer -> answer.path(done).asBoolean())
                .toCompletionStage();
    }

    private static Single<ObjectNode> ask(
            StreamingHttpClient client, StreamingHttpRequest request, long largestBytes) {
        return client.request(request)
                .flatMap(response -> answer(response, largestBytes))
                .timeout(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private static Single<ObjectNode> answer(StreamingHttpResponse response, long largestBytes) {
        int status = response.status().code();
        return BodyCollector.collect(response.payloadBody(), largestBytes)
                .map(
                        body -> {
                            if (status != SUCCESS) {
                                throw new UnexpectedAnswerException("status " + status);
                            }
                            return JsonBodies.parse(body)
                                    .getOrElseThrow(
                                            () -> new UnexpectedAnswerException("no JSON object"));
                        });
    }

    private static EngineListing listing(Announcement engine, ObjectNode body) {
        JsonNode requests = body.path("requests");
        JsonNode exports = body.path("exports");
        if (!requests.isArray() || !exports.isArray()) {
            // Taken for an empty list, it would break all running attempts.
            throw new UnexpectedAnswerException("a listing without its lists");
        }
        List<EngineListing.HeldAttempt> attempts = new ArrayList<>();
        for (JsonNode held : requests) {
            String id = held.path("attempt").asText();
            try {
                AttemptId attempt = new AttemptId(id);
                long tokens = held.path("memory_tokens").asLong();
                attempts.add(new EngineListing.HeldAttempt(attempt, tokens));
            } catch (InvalidIdentifierException exception) {
                LOG.warn("listed_attempt_ignored", "upstream", engine.id(), "attempt", id);
            }
        }
        List<EngineListing.HeldExport> held = new ArrayList<>();
        for (JsonNode export : exports) {
            held.add(
                    new EngineListing.HeldExport(
                            export.path("handle").asText(), export.path("tokens").asLong()));
        }
        return new EngineListing(engine.id(), engine.incarnation(), attempts, held);
    }
}
