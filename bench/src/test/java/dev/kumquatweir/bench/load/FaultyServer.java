package dev.kumquatweir.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import dev.kumquatweir.standin.model.StandinTokens;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/** Answers chats and actions, each wrongly in the way that it is told. */
final class FaultyServer implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpServer mServer;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final Mode mMode;
    private final Map<String, Integer> mExecutions = new ConcurrentHashMap<>();
    private final AtomicLong mPreviousSeed = new AtomicLong(StandinTokens.seed("none"));

    enum Mode {
        CORRECT,
        TRUNCATED_BUT_DONE,
        ENDED_WITHOUT_DONE,
        TOKEN_MISSING,
        TOKEN_DOUBLED,
        DONE_DOUBLED,
        CROSSED,
        CORRUPT,
        CONNECTION_BROKEN,
        NEVER_ANSWERED,
        TYPED_FAILURE,
        REFUSED,
        ACTION_DOUBLED,
        ACTION_FALSE_NOT_RUN,
        ACTION_NOT_EXECUTED,
        ACTION_CROSSED,
        ACTION_UNKNOWN_ONCE
    }

    FaultyServer(Mode mode) throws IOException {
        mMode = mode;
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mServer.setExecutor(mThreads);
        mServer.createContext("/v1/chat/completions", this::chat);
        mServer.createContext("/services/", this::action);
        mServer.createContext("/standin/v1/ledger", this::ledger);
        mServer.start();
    }

    URI address() {
        return URI.create("http://127.0.0.1:" + mServer.getAddress().getPort());
    }

    @Override
    public void close() {
        mServer.stop(0);
        mThreads.shutdownNow();
    }

    private void chat(HttpExchange exchange) throws IOException {
        JsonNode body = MAPPER.readTree(exchange.getRequestBody());
        long seed = StandinTokens.seed(body.path("messages").path(0).path("content").asText());
        long tokens = StandinTokens.answerLength(seed, body.path("max_tokens").asLong());
        long previous = mPreviousSeed.getAndSet(seed);
        if (mMode == Mode.NEVER_ANSWERED) {
            return;
        }
        if (mMode == Mode.REFUSED) {
            String error = "{\"error\":{\"type\":\"overloaded\",\"ran\":\"no\"}}";
            send(exchange, 429, error);
            return;
        }
        exchange.getResponseHeaders().add("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        OutputStream out = exchange.getResponseBody();
        for (long index = 0; index < tokens; index++) {
            if (index == tokens / 2) {
                if (mMode == Mode.CONNECTION_BROKEN) {
                    out.flush();
                    throw new IOException("broken off on purpose");
                }
                half(out, seed, previous, index);
            } else {
                token(out, StandinTokens.text(seed, index));
            }
            boolean endsEarly =
                    mMode == Mode.TRUNCATED_BUT_DONE
                            || mMode == Mode.ENDED_WITHOUT_DONE
                            || mMode == Mode.TYPED_FAILURE;
            if (endsEarly && index > tokens / 2) {
                break;
            }
        }
        end(out);
        exchange.close();
    }

    /** Writes the token in the middle of the answer. */
    private void half(OutputStream out, long seed, long previous, long index) throws IOException {
        String text = StandinTokens.text(seed, index);
        switch (mMode) {
            case TOKEN_MISSING -> {}
            case TOKEN_DOUBLED -> token(out, text + text);
            case CROSSED -> token(out, StandinTokens.text(previous, index));
            case CORRUPT -> token(out, "QQQQQ ");
            default -> token(out, text);
        }
    }

    private void end(OutputStream out) throws IOException {
        if (mMode == Mode.TYPED_FAILURE) {
            event(out, "event: error\ndata: {\"error\":{\"type\":\"upstream_failed\"}}\n\n");
            return;
        }
        if (mMode != Mode.ENDED_WITHOUT_DONE) {
            event(out, "data: [DONE]\n\n");
        }
        if (mMode == Mode.DONE_DOUBLED) {
            event(out, "data: [DONE]\n\n");
        }
    }

    private void action(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
        int tried = mExecutions.getOrDefault(key, 0);
        if (mMode != Mode.ACTION_NOT_EXECUTED && tried == 0) {
            mExecutions.merge(key, mMode == Mode.ACTION_DOUBLED ? 2 : 1, Integer::sum);
        }
        String error = "{\"error\":{\"type\":\"%s\",\"ran\":\"%s\"}}";
        if (mMode == Mode.ACTION_FALSE_NOT_RUN) {
            send(exchange, 503, error.formatted("no_upstream", "no"));
        } else if (mMode == Mode.ACTION_UNKNOWN_ONCE && tried == 0) {
            send(exchange, 409, error.formatted("in_progress", "unknown"));
        } else {
            String answered = mMode == Mode.ACTION_CROSSED ? "another" : key;
            send(exchange, 200, "{\"action\":1,\"key\":\"" + answered + "\"}");
        }
    }

    private void ledger(HttpExchange exchange) throws IOException {
        send(exchange, 200, MAPPER.writeValueAsString(Map.of("executions", mExecutions)));
    }

    private static void token(OutputStream out, String text) throws IOException {
        event(out, "data: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n");
    }

    private static void event(OutputStream out, String event) throws IOException {
        out.write(event.getBytes(StandardCharsets.UTF_8));
    }

    private static void send(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
