package dev.kumquatweir.gateway.upstream;

import static io.servicetalk.concurrent.api.SourceAdapters.toSource;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.gateway.dispatch.AttemptListener;
import dev.kumquatweir.gateway.dispatch.AttemptOrder;
import dev.kumquatweir.gateway.dispatch.Work;
import dev.kumquatweir.gateway.http.BodyCollector;
import dev.kumquatweir.gateway.http.JsonBodies;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.registry.Announcement;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.concurrent.TimeUnit;

/** The engine protocol, client side. Thread-safe. */
final class EngineClient {
    private static final EventLog LOG = EventLog.of(EngineClient.class);
    private static final int REFUSED = 409;
    private static final int SUCCESS = 200;
    private static final long LARGEST_ERROR_BYTES = 16 * 1024;

    /** A cancel that met a silent connection must not keep that connection for ever. */
    private static final long CANCEL_LIMIT_SECONDS = 5;

    private final UpstreamClients mClients;

    EngineClient(UpstreamClients clients) {
        mClients = clients;
    }

    /** Sends a generation; returns what closes its connection. */
    Runnable generate(AttemptOrder order, Work.Generation work, AttemptListener listener) {
        StreamingHttpClient client = mClients.of(order.upstream().address());
        ObjectNode body = generationBody(order, work);
        GenerationSubscriber subscriber = new GenerationSubscriber(listener);
        Publisher<Buffer> answer =
                client.request(post(client, "/engine/v1/generate", body))
                        .flatMapPublisher(response -> checked(response, listener));
        toSource(answer).subscribe(subscriber);
        return subscriber::close;
    }

    /**
     * Asks for an attempt to be cancelled; an engine that can't be reached is left to reconcile.
     */
    void cancel(Announcement upstream, AttemptId attempt) {
        ObjectNode body = JsonBodies.object().put("attempt", attempt.value());
        StreamingHttpClient client = mClients.of(upstream.address());
        client.request(post(client, "/engine/v1/cancel", body))
                .flatMapPublisher(StreamingHttpResponse::payloadBody)
                .ignoreElements()
                .timeout(CANCEL_LIMIT_SECONDS, TimeUnit.SECONDS)
                .whenOnError(
                        problem ->
                                LOG.warn(
                                        "cancel_failed",
                                        "upstream",
                                        upstream.id(),
                                        "attempt",
                                        attempt,
                                        "problem",
                                        problem.getClass().getSimpleName()))
                .subscribe();
    }

    private static Publisher<Buffer> checked(
            StreamingHttpResponse response, AttemptListener listener) {
        int status = response.status().code();
        if (status == SUCCESS) {
            listener.accepted();
            return response.payloadBody();
        }
        if (status != REFUSED) {
            return BodyCollector.drain(response.payloadBody(), LARGEST_ERROR_BYTES)
                    .concat(Publisher.failed(new UnexpectedAnswerException("status " + status)));
        }
        return BodyCollector.collect(response.payloadBody(), LARGEST_ERROR_BYTES)
                .flatMapPublisher(
                        body ->
                                Publisher.failed(
                                        JsonBodies.parse(body)
                                                .map(EngineClient::refusal)
                                                .getOrElse(EngineClient::unreadable)));
    }

    private static RuntimeException unreadable() {
        return new UnexpectedAnswerException("a refusal that can't be read");
    }

    private static RuntimeException refusal(ObjectNode body) {
        return switch (body.path("error").path("type").asText()) {
            case "memory_full" -> new RefusedException(AttemptEvent.RefusalReason.MEMORY_FULL);
            case "cold_limit" -> new RefusedException(AttemptEvent.RefusalReason.COLD_LIMIT);
            case "unknown_model" -> new RefusedException(AttemptEvent.RefusalReason.UNKNOWN_MODEL);
            case "draining" -> new RefusedException(AttemptEvent.RefusalReason.DRAINING);
            default -> unreadable();
        };
    }

    private static ObjectNode generationBody(AttemptOrder order, Work.Generation work) {
        ObjectNode body = JsonBodies.object();
        body.put("attempt", order.attempt().value());
        body.put("model", work.model().value());
        body.put("prompt", work.prompt());
        body.put("max_tokens", work.maximumTokens());
        body.put("priority", order.priority());
        body.put("deadline_ms", order.remainingMillis());
        ArrayNode hashes = body.putArray("prefix_hashes");
        order.prefixHashes().forEach(hashes::add);
        body.set("parameters", work.parameters());
        if (!order.kvHandles().isEmpty()) {
            ArrayNode handles = body.putArray("kv_handles");
            order.kvHandles().forEach(handles::add);
        }
        if (order.resumeOffset() > 0) {
            body.putObject("resume")
                    .put("offset", order.resumeOffset())
                    .put("text", order.resumeText());
        }
        return body;
    }

    static StreamingHttpRequest post(StreamingHttpClient client, String path, ObjectNode body) {
        Buffer content = client.executionContext().bufferAllocator().fromUtf8(body.toString());
        return client.post(path)
                .setHeader(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .setHeader(
                        HttpHeaderNames.CONTENT_LENGTH, Integer.toString(content.readableBytes()))
                .payloadBody(Publisher.from(content));
    }
}
