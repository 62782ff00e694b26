package dev.kumquatweir.program.command;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.failure.FailureException;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * HTTP client of the operator API. Tries the instances in turn until one serves the request. A
 * change may therefore reach two instances; its command id makes it idempotent. Not thread-safe.
 */
final class OperatorClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(40);
    private static final int OK = 200;
    private static final long LARGEST_ANSWER_BYTES = 64L << 20;

    /** The instance could not reach a peer or the leader; the next instance may be able to. */
    private static final List<Integer> FAILOVER_STATUSES = List.of(502, 503);

    private final List<String> mInstances;
    private final String mKey;
    private final HttpClient mClient =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();

    /**
     * @param instances base URLs of the instances to try, at least one
     * @param key key of the operator
     */
    OperatorClient(List<String> instances, String key) {
        mInstances = List.copyOf(instances);
        mKey = key;
    }

    JsonNode get(String path) {
        return send(path, HttpRequest.newBuilder().GET());
    }

    JsonNode post(String path, ObjectNode body) {
        return send(
                path,
                HttpRequest.newBuilder()
                        .POST(HttpRequest.BodyPublishers.ofString(body.toString())));
    }

    private JsonNode send(String path, HttpRequest.Builder request) {
        List<String> problems = new ArrayList<>();
        for (String instance : mInstances) {
            try {
                HttpResponse<String> response = send(instance, path, request);
                if (response.statusCode() == OK) {
                    return JSON.readTree(response.body());
                }
                ClientFailure.Refused refusal = parseRefusal(instance, response);
                if (!FAILOVER_STATUSES.contains(response.statusCode())) {
                    throw new FailureException(refusal);
                }
                problems.add(refusal.message());
            } catch (IOException | IllegalArgumentException exception) {
                problems.add(instance + ": " + exception);
            }
        }
        throw new FailureException(new ClientFailure.Unreachable(problems));
    }

    private HttpResponse<String> send(String instance, String path, HttpRequest.Builder request)
            throws IOException {
        try {
            return mClient.send(
                    request.copy()
                            .uri(URI.create(instance + "/operator/v1/" + path))
                            .timeout(RESPONSE_TIMEOUT)
                            .header("Authorization", "Bearer " + mKey)
                            .build(),
                    HttpResponse.BodyHandlers.limiting(
                            HttpResponse.BodyHandlers.ofString(), LARGEST_ANSWER_BYTES));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", exception);
        }
    }

    private static ClientFailure.Refused parseRefusal(
            String instance, HttpResponse<String> response) {
        JsonNode error;
        try {
            error = JSON.readTree(response.body()).path("error");
        } catch (JacksonException exception) {
            error = JSON.createObjectNode();
        }
        List<String> difference = new ArrayList<>();
        error.path("difference").forEach(entry -> difference.add(differenceLine(entry)));
        return new ClientFailure.Refused(
                instance,
                response.statusCode(),
                error.path("type").asText("http_" + response.statusCode()),
                error.path("message").asText("no explanation"),
                difference);
    }

    /** Formats an entry of a configuration difference as a line. */
    static String differenceLine(JsonNode entry) {
        return "  %-8s %s: %s -> %s"
                .formatted(
                        entry.path("kind").asText(),
                        entry.path("path").asText(),
                        entry.path("before").asText(),
                        entry.path("after").asText());
    }
}
