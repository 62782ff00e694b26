package dev.kumquatweir.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Try;

/** JSON of the protocol: names in snake case, unknown fields ignored. Thread-safe. */
final class Json {
    /** Holds a prompt of several million tokens. */
    private static final int LONGEST_TEXT_CHARACTERS = 64_000_000;

    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                    .build();

    static {
        MAPPER.getFactory()
                .setStreamReadConstraints(
                        StreamReadConstraints.builder()
                                .maxStringLength(LONGEST_TEXT_CHARACTERS)
                                .build());
    }

    private Json() {}

    static <T> Try<T> read(byte[] body, Class<T> type) {
        return Try.of(() -> MAPPER.readValue(body, type))
                .filter(value -> value != null, () -> new IllegalArgumentException("null body"));
    }

    static Try<JsonNode> readTree(byte[] body) {
        return Try.of(() -> MAPPER.readTree(body));
    }

    static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException("the value has no form in JSON", exception);
        }
    }
}
