package dev.kumquatweir.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.vavr.control.Try;

/**
 * A refusal or failure as a caller sees it.
 *
 * @param type machine-readable code, {@code untyped} if the body has none
 * @param ran {@code no}, {@code yes}, {@code unknown}, or empty if the body does not say
 */
record ErrorAnswer(String type, String ran) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    static ErrorAnswer of(String body) {
        JsonNode error = json(body).path("error");
        return new ErrorAnswer(error.path("type").asText("untyped"), error.path("ran").asText(""));
    }

    static JsonNode json(String body) {
        JsonNode node = Try.of(() -> MAPPER.readTree(body)).getOrNull();
        return node == null ? MissingNode.getInstance() : node;
    }

    static byte[] bytes(Object value) {
        return Try.of(() -> MAPPER.writeValueAsBytes(value)).get();
    }

    boolean notRun() {
        return ran.equals("no");
    }
}
