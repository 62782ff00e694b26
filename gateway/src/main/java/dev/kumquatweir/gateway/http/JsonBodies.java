package dev.kumquatweir.gateway.http;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.failure.RequestFailure;
import io.vavr.control.Either;
import java.io.IOException;

/** Parses and creates JSON bodies. Thread-safe. */
public final class JsonBodies {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private JsonBodies() {}

    /** Returns an empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Parses a body that must be a single JSON object. */
    public static Either<RequestFailure, ObjectNode> parse(Bytes body) {
        try {
            JsonNode tree = MAPPER.readTree(body.toArray());
            return tree instanceof ObjectNode object
                    ? Either.right(object)
                    : malformed("body", "must be a JSON object");
        } catch (JacksonException exception) {
            JsonLocation location = exception.getLocation();
            String place = location == null ? "body" : "body byte " + location.getByteOffset();
            return malformed(place, exception.getOriginalMessage());
        } catch (IOException exception) {
            return malformed("body", String.valueOf(exception.getMessage()));
        }
    }

    private static Either<RequestFailure, ObjectNode> malformed(String place, String problem) {
        return Either.left(new RequestFailure.Malformed(place, problem));
    }
}
