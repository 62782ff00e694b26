package dev.kumquatweir.standin;

import dev.kumquatweir.standin.model.GenerateRequest;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

/** Body of a chat completion, as far as the stand-in engine reads it. */
record ChatMessages(String model, long maxTokens, List<Message> messages) {
    /** Checks that the fields are there and that the model's name needs no quoting in JSON. */
    ChatMessages {
        messages = List.copyOf(messages);
        if (!Objects.requireNonNull(model, "model").matches("[A-Za-z0-9._:@/+=-]+")) {
            throw new IllegalArgumentException("model");
        }
    }

    /**
     * One message.
     *
     * @param role role of its author
     * @param content its text
     */
    record Message(String role, String content) {}

    GenerateRequest toRequest(String attempt) {
        String prompt = messages.stream().map(Message::content).collect(Collectors.joining("\n"));
        return new GenerateRequest(
                attempt, model, prompt, maxTokens, 5, 0, List.of(), null, List.of());
    }
}
