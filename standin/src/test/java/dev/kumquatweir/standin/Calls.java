package dev.kumquatweir.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Calls of a stand-in over HTTP, each client with connections of its own. */
final class Calls {
    private static final Duration LIMIT = Duration.ofSeconds(60);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final InetSocketAddress mAddress;

    Calls(InetSocketAddress address) {
        mAddress = address;
    }

    record Answer(int status, JsonNode body) {
        String errorType() {
            return body.path("error").path("type").asText();
        }
    }

    /** A stream of server-sent events that is being read. */
    record Reading(List<String> lines, CompletableFuture<Void> end) {
        /** Returns the text of all tokens read, checking that their indexes follow each other. */
        String text(long firstIndex) {
            StringBuilder text = new StringBuilder();
            long index = firstIndex;
            for (String line : lines) {
                JsonNode event = line.startsWith("data: ") ? json(line.substring(6)) : json("{}");
                if (event.has("index")) {
                    if (event.path("index").asLong() != index++) {
                        throw new AssertionError("index " + event + " is not " + (index - 1));
                    }
                    text.append(event.path("text").asText());
                }
            }
            return text.toString();
        }

        boolean hasLine(String part) {
            return lines.stream().anyMatch(line -> line.contains(part));
        }
    }

    Answer post(String path, String body) {
        return send(builder(path).POST(HttpRequest.BodyPublishers.ofString(body)).build());
    }

    Answer get(String path) {
        return send(builder(path).GET().build());
    }

    CompletableFuture<Answer> postLater(String path, String body) {
        return CompletableFuture.supplyAsync(() -> post(path, body));
    }

    Reading generate(String body) {
        List<String> lines = new CopyOnWriteArrayList<>();
        CompletableFuture<Void> end =
                mClient.sendAsync(
                                builder("/engine/v1/generate")
                                        .POST(HttpRequest.BodyPublishers.ofString(body))
                                        .build(),
                                HttpResponse.BodyHandlers.ofLines())
                        .thenAcceptAsync(response -> response.body().forEach(lines::add));
        return new Reading(lines, end);
    }

    void fault(String fault, String value) {
        Answer answer =
                post("/standin/v1/fault", "{\"fault\":\"" + fault + "\",\"value\":" + value + "}");
        if (answer.status() != 200) {
            throw new AssertionError(answer.toString());
        }
    }

    static String request(String attempt, String prompt, long maxTokens) {
        return "{\"attempt\":\"%s\",\"model\":\"standin\",\"prompt\":\"%s\",\"max_tokens\":%d}"
                .formatted(attempt, prompt, maxTokens);
    }

    static JsonNode json(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (java.io.IOException exception) {
            throw new AssertionError(text, exception);
        }
    }

    static void await(String what, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + LIMIT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - endNanos > 0) {
                throw new AssertionError("not seen in " + LIMIT + ": " + what);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    private HttpRequest.Builder builder(String path) {
        String base = "http://" + mAddress.getAddress().getHostAddress() + ":" + mAddress.getPort();
        return HttpRequest.newBuilder(URI.create(base + path)).timeout(LIMIT);
    }

    private Answer send(HttpRequest request) {
        try {
            HttpResponse<String> response =
                    mClient.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), json(response.body()));
        } catch (java.io.IOException exception) {
            throw new java.io.UncheckedIOException(exception);
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }
}
