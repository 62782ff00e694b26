package dev.kumquatweir.program.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.identity.InvalidIdentifierException;
import io.vavr.control.Either;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * An authenticated request of an operator. Numbers are read from the query string if it has the key
 * (GET) and otherwise from the body (POST).
 *
 * @param operator name of the operator
 * @param route method and path, such as {@code GET /operator/v1/status}
 * @param query query parameters
 * @param body JSON body, an empty object if the request has none
 * @param callerWaits returns whether the caller still waits for the response
 */
record OperatorCall(
        String operator,
        String route,
        Map<String, String> query,
        ObjectNode body,
        BooleanSupplier callerWaits) {

    /** Returns a string of the body; a missing or empty one is a failure. */
    Either<OperatorFailure, String> text(String key) {
        JsonNode value = body.path(key);
        return value.isTextual() && !value.textValue().isEmpty()
                ? Either.right(value.textValue())
                : Either.left(new OperatorFailure.Malformed(key, "a non-empty string is required"));
    }

    /** Returns a string of the body, empty if it is missing. */
    String textOrEmpty(String key) {
        return body.path(key).asText("");
    }

    /** Returns a Boolean value of the body, or the default if it is missing. */
    boolean flag(String key, boolean defaultValue) {
        return body.path(key).asBoolean(defaultValue);
    }

    /** Returns an identifier of the body; fails if it is missing or the constructor rejects it. */
    <T> Either<OperatorFailure, T> identifier(String key, Function<String, T> constructor) {
        return text(key)
                .flatMap(
                        value -> {
                            try {
                                return Either.right(constructor.apply(value));
                            } catch (InvalidIdentifierException exception) {
                                return Either.left(
                                        new OperatorFailure.Malformed(
                                                key, String.valueOf(exception.getMessage())));
                            }
                        });
    }

    /** Returns an integer of at least 0, or the default if it is missing. */
    Either<OperatorFailure, Long> number(String key, long defaultValue) {
        String text = query.getOrDefault(key, body.path(key).asText(""));
        if (text.isEmpty()) {
            return Either.right(defaultValue);
        }
        try {
            long value = Long.parseLong(text);
            return value >= 0 ? Either.right(value) : invalidNumber(key);
        } catch (NumberFormatException exception) {
            return invalidNumber(key);
        }
    }

    private static Either<OperatorFailure, Long> invalidNumber(String key) {
        return Either.left(
                new OperatorFailure.Malformed(key, "an integer of at least 0 is required"));
    }
}
