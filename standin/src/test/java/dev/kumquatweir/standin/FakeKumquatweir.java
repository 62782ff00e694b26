package dev.kumquatweir.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Takes the messages of upstreams and answers as it is told. */
final class FakeKumquatweir implements AutoCloseable {
    private final HttpServer mServer;
    private final List<Message> mMessages = new CopyOnWriteArrayList<>();
    private final Map<String, String> mNextAnswers = new ConcurrentHashMap<>();

    record Message(String kind, String authorization, JsonNode body) {}

    FakeKumquatweir() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mServer.createContext("/upstream/v1/", this::handle);
        mServer.start();
    }

    InetSocketAddress address() {
        return mServer.getAddress();
    }

    /** Gives one answer to the next message of a kind. */
    void answerNext(String kind, String answer) {
        mNextAnswers.put(kind, answer);
    }

    List<JsonNode> bodies(String kind) {
        return mMessages.stream()
                .filter(message -> message.kind().equals(kind))
                .map(Message::body)
                .toList();
    }

    int count(String kind) {
        return bodies(kind).size();
    }

    List<String> authorizations() {
        return mMessages.stream().map(Message::authorization).distinct().toList();
    }

    JsonNode last(String kind) {
        List<JsonNode> bodies = bodies(kind);
        return bodies.isEmpty() ? Calls.json("{}") : bodies.get(bodies.size() - 1);
    }

    @Override
    public void close() {
        mServer.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        String kind = path.substring(path.lastIndexOf('/') + 1);
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String authorization = exchange.getRequestHeaders().getFirst("Authorization");
        mMessages.add(new Message(kind, authorization, Calls.json(body)));
        String next = mNextAnswers.remove(kind);
        byte[] answer = (next == null ? "{}" : next).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, answer.length);
        exchange.getResponseBody().write(answer);
        exchange.close();
    }
}
