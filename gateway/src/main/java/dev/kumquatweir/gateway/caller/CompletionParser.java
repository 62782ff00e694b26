package dev.kumquatweir.gateway.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.InvalidIdentifierException;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.gateway.dispatch.Work;
import dev.kumquatweir.gateway.http.JsonBodies;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/** Parses completion requests. Holds no state. */
final class CompletionParser {
    private static final long DEFAULT_MAXIMUM_TOKENS = 1_024;
    private static final long MAXIMUM_TOKENS_LIMIT = 131_072;
    private static final List<String> SAMPLING_PARAMETERS =
            List.of(
                    "temperature",
                    "top_p",
                    "stop",
                    "seed",
                    "presence_penalty",
                    "frequency_penalty");

    private CompletionParser() {}

    static Either<RequestFailure, CompletionRequest> parse(
            CompletionFormat format, ObjectNode body) {
        if (body.path("n").asInt(1) != 1) {
            return malformed("n", "only 1 is supported");
        }
        return model(body)
                .flatMap(
                        model ->
                                messages(format, body)
                                        .flatMap(
                                                messages ->
                                                        maximumTokens(body)
                                                                .map(
                                                                        tokens ->
                                                                                request(
                                                                                        format,
                                                                                        body, model,
                                                                                        messages,
                                                                                        tokens))));
    }

    private static CompletionRequest request(
            CompletionFormat format,
            ObjectNode body,
            ModelName model,
            List<String> messages,
            long maximumTokens) {
        ObjectNode parameters = JsonBodies.object();
        SAMPLING_PARAMETERS.stream()
                .filter(body::hasNonNull)
                .forEach(name -> parameters.set(name, body.get(name)));
        return new CompletionRequest(
                format,
                new Work.Generation(model, String.join("", messages), maximumTokens, parameters),
                messages.subList(0, messages.size() - 1),
                body.path("stream").asBoolean(false),
                body.path("stream_options").path("include_usage").asBoolean(false));
    }

    private static Either<RequestFailure, ModelName> model(ObjectNode body) {
        JsonNode model = body.path("model");
        if (!model.isTextual()) {
            return malformed("model", "must be a text string");
        }
        try {
            return Either.right(new ModelName(model.textValue()));
        } catch (InvalidIdentifierException exception) {
            return malformed("model", String.valueOf(exception.getMessage()));
        }
    }

    private static Either<RequestFailure, Long> maximumTokens(ObjectNode body) {
        JsonNode value =
                body.hasNonNull("max_completion_tokens")
                        ? body.path("max_completion_tokens")
                        : body.path("max_tokens");
        if (value.isMissingNode() || value.isNull()) {
            return Either.right(DEFAULT_MAXIMUM_TOKENS);
        }
        boolean allowed =
                value.canConvertToExactIntegral()
                        && value.longValue() >= 1
                        && value.longValue() <= MAXIMUM_TOKENS_LIMIT;
        return allowed
                ? Either.right(value.longValue())
                : malformed(
                        "max_tokens",
                        "must be a whole number of tokens from 1 to "
                                + MAXIMUM_TOKENS_LIMIT
                                + " inclusive");
    }

    /** Returns the messages as they stand in the prompt; a text is a single one. */
    private static Either<RequestFailure, List<String>> messages(
            CompletionFormat format, ObjectNode body) {
        Either<RequestFailure, List<String>> messages =
                switch (format) {
                    case CHAT -> chatMessages(body.path("messages"));
                    case TEXT -> textPrompt(body.path("prompt")).map(List::of);
                };
        return messages.filterOrElse(
                list -> !list.getFirst().isEmpty(),
                list -> new RequestFailure.Malformed("prompt", "must not be empty"));
    }

    private static Either<RequestFailure, String> textPrompt(JsonNode prompt) {
        if (prompt.isTextual()) {
            return Either.right(prompt.textValue());
        }
        if (prompt instanceof ArrayNode list && list.size() == 1 && list.get(0).isTextual()) {
            return Either.right(list.get(0).textValue());
        }
        return malformed("prompt", "must be a single text string");
    }

    private static Either<RequestFailure, List<String>> chatMessages(JsonNode messages) {
        if (!(messages instanceof ArrayNode list) || list.isEmpty()) {
            return malformed("messages", "must be a list of at least one message");
        }
        List<String> texts = new ArrayList<>();
        for (int position = 0; position < list.size(); position++) {
            JsonNode message = list.get(position);
            JsonNode content = message.path("content");
            if (!message.path("role").isTextual()
                    || !(content.isTextual() || content instanceof ArrayNode)) {
                return malformed("messages[" + position + "]", "must have role and content");
            }
            texts.add(message.path("role").textValue() + ": " + contentText(content) + "\n");
        }
        return Either.right(texts);
    }

    private static String contentText(JsonNode content) {
        return content.isTextual()
                ? content.textValue()
                : StreamSupport.stream(content.spliterator(), false)
                        .map(part -> part.path("text").asText(""))
                        .collect(Collectors.joining());
    }

    private static <T> Either<RequestFailure, T> malformed(String place, String problem) {
        return Either.left(new RequestFailure.Malformed(place, problem));
    }
}
