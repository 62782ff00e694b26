package dev.kumquatweir.standin.model;

import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * A request to generate, as it comes from kumquatweir. Immutable.
 *
 * @param attempt name of the attempt, never reused
 * @param model model to run
 * @param prompt whole text up to and including the part that this engine processes
 * @param maxTokens longest whole answer in tokens, resumed ones included; 0 for prefill only
 * @param priority from 0 (least urgent) to 9
 * @param deadlineMs milliseconds from arrival until the attempt is dropped, 0 for no deadline
 * @param prefixHashes chained hashes of the prompt's blocks of 256 tokens, first block first
 * @param resume where to go on, null to start at the first token
 * @param kvHandles imported handles that cover the start of the prompt, in order
 */
public record GenerateRequest(
        String attempt,
        String model,
        String prompt,
        long maxTokens,
        int priority,
        long deadlineMs,
        List<Long> prefixHashes,
        @Nullable Resume resume,
        List<String> kvHandles) {

    /**
     * Copies the lists; an absent list is empty.
     *
     * @throws NullPointerException if the attempt, the model or the prompt is absent
     */
    public GenerateRequest {
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(prompt, "prompt");
        prefixHashes = copyOrEmpty(prefixHashes);
        kvHandles = copyOrEmpty(kvHandles);
    }

    private static <T> List<T> copyOrEmpty(@Nullable List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    /**
     * Where an interrupted answer goes on.
     *
     * @param offset tokens that the caller already has
     * @param text their text
     */
    public record Resume(long offset, String text) {
        /** An absent text is empty. */
        public Resume {
            text = Objects.requireNonNullElse(text, "");
        }
    }
}
