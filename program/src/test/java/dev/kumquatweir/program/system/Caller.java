package dev.kumquatweir.program.system;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.standin.model.StandinTokens;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** A caller of the system. Requests carry the key of the test's team. */
final class Caller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(5)).build();
    private static final Duration LIMIT = Duration.ofMinutes(3);

    private Caller() {}

    /** What a caller got. */
    record Answer(int status, String body) {
        JsonNode json() {
            try {
                return JSON.readTree(body);
            } catch (JsonProcessingException exception) {
                throw new AssertionError(body, exception);
            }
        }

        String ran() {
            return json().path("error").path("ran").asText();
        }

        String type() {
            return json().path("error").path("type").asText();
        }
    }

    /** A streamed answer, and whether its end mark came. */
    record Streamed(String text, boolean complete, String error) {}

    /** Returns the status of a GET, 0 if nobody answers. */
    static int status(String url) {
        return tryGet(url).status();
    }

    /** Gets; the status is 0 if the connection can't be made or breaks. */
    static Answer tryGet(String url) {
        try {
            return send(request(url).GET());
        } catch (IOException exception) {
            return new Answer(0, "");
        }
    }

    /**
     * Sends to a stand-in on a connection of its own, which no earlier fault has made silent. The
     * status is 0 if the connection can't be made or breaks.
     */
    static Answer askStandin(String url, String body) {
        HttpRequest.Builder request =
                body.isEmpty()
                        ? request(url).GET()
                        : request(url).POST(HttpRequest.BodyPublishers.ofString(body));
        try (HttpClient client = HttpClient.newHttpClient()) {
            return send(client, request);
        } catch (IOException exception) {
            return new Answer(0, "");
        }
    }

    static Answer get(String url) {
        return sendOrFail(request(url).GET());
    }

    static Answer post(String url, String idempotencyKey, String body) {
        HttpRequest.Builder request = request(url).POST(HttpRequest.BodyPublishers.ofString(body));
        return sendOrFail(
                idempotencyKey.isEmpty()
                        ? request
                        : request.header("Idempotency-Key", idempotencyKey));
    }

    /** As {@link #post}, with a time limit shorter than the profile's. */
    static Answer post(String url, String idempotencyKey, String body, long limitMillis) {
        return sendOrFail(
                request(url)
                        .header("Idempotency-Key", idempotencyKey)
                        .header("Kumquatweir-Timeout-Ms", Long.toString(limitMillis))
                        .POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    /** Posts; the status is 0 if the connection can't be made or breaks. */
    static Answer tryPost(String url, String idempotencyKey, String body) {
        try {
            return send(
                    request(url)
                            .header("Idempotency-Key", idempotencyKey)
                            .POST(HttpRequest.BodyPublishers.ofString(body)));
        } catch (IOException exception) {
            return new Answer(0, "");
        }
    }

    static Answer complete(String url, String profile, String prompt, int tokens) {
        return sendOrFail(
                request(url + "/v1/completions")
                        .header("Kumquatweir-Profile", profile)
                        .POST(HttpRequest.BodyPublishers.ofString(body(prompt, tokens, false))));
    }

    /** Completes a chat whose first message is of the system and all others of the user. */
    static Answer chat(String url, List<String> messages, int tokens) {
        ObjectNode body = JSON.createObjectNode();
        body.put("model", "quote-7b").put("max_tokens", tokens);
        ArrayNode list = body.putArray("messages");
        for (int number = 0; number < messages.size(); number++) {
            list.addObject().put("role", role(number)).put("content", messages.get(number));
        }
        return sendOrFail(
                request(url + "/v1/chat/completions")
                        .header("Kumquatweir-Profile", "quick")
                        .POST(HttpRequest.BodyPublishers.ofString(body.toString())));
    }

    /** Returns the answer that every stand-in engine gives to a chat. */
    static String expectedChat(List<String> messages, int tokens) {
        StringBuilder prompt = new StringBuilder();
        for (int number = 0; number < messages.size(); number++) {
            prompt.append(role(number)).append(": ").append(messages.get(number)).append('\n');
        }
        return expected(prompt.toString(), tokens);
    }

    private static String role(int number) {
        return number == 0 ? "system" : "user";
    }

    /** Streams a completion; the consumer is told of each piece of text as it comes. */
    static Streamed stream(
            String url, String profile, String prompt, int tokens, Consumer<String> onText) {
        HttpRequest request =
                request(url + "/v1/completions")
                        .header("Kumquatweir-Profile", profile)
                        .POST(HttpRequest.BodyPublishers.ofString(body(prompt, tokens, true)))
                        .build();
        StringBuilder text = new StringBuilder();
        boolean complete = false;
        String error = "";
        try (Stream<String> lines =
                CLIENT.send(request, HttpResponse.BodyHandlers.ofLines()).body()) {
            boolean failed = false;
            for (String line : (Iterable<String>) lines::iterator) {
                if (line.equals("event: error")) {
                    failed = true;
                } else if (line.equals("data: [DONE]")) {
                    complete = true;
                } else if (line.startsWith("data: ") && failed) {
                    error = line.substring("data: ".length());
                } else if (line.startsWith("data: ")) {
                    JsonNode event = JSON.readTree(line.substring("data: ".length()));
                    String piece = event.path("choices").path(0).path("text").asText();
                    text.append(piece);
                    onText.accept(piece);
                } else if (line.startsWith("{")) {
                    error = line;
                }
            }
        } catch (IOException | UncheckedIOException exception) {
            error = exception.toString();
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
        return new Streamed(text.toString(), complete, error);
    }

    static CompletableFuture<Streamed> streamLater(
            String url, String profile, String prompt, int tokens, Consumer<String> onText) {
        return CompletableFuture.supplyAsync(
                () -> stream(url, profile, prompt, tokens, onText),
                task -> Thread.ofVirtual().start(task));
    }

    /** Returns the answer that every stand-in engine gives to a prompt. */
    static String expected(String prompt, int tokens) {
        long seed = StandinTokens.seed(prompt);
        return StandinTokens.answer(seed, StandinTokens.answerLength(seed, tokens));
    }

    private static String body(String prompt, int tokens, boolean stream) {
        ObjectNode body = JSON.createObjectNode();
        body.put("model", "quote-7b").put("prompt", prompt);
        body.put("max_tokens", tokens).put("stream", stream);
        return body.toString();
    }

    private static HttpRequest.Builder request(String url) {
        return HttpRequest.newBuilder(URI.create(url))
                .timeout(LIMIT)
                .header("Authorization", "Bearer " + LocalCluster.TEAM_KEY)
                .header("Content-Type", "application/json");
    }

    private static Answer sendOrFail(HttpRequest.Builder request) {
        try {
            return send(request);
        } catch (IOException exception) {
            throw new AssertionError(exception);
        }
    }

    private static Answer send(HttpRequest.Builder request) throws IOException {
        return send(CLIENT, request);
    }

    private static Answer send(HttpClient client, HttpRequest.Builder request) throws IOException {
        try {
            HttpResponse<String> response =
                    client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }
}
