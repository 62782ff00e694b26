package dev.kumquatweir.core.pack;

import dev.kumquatweir.core.failure.Failure;

/**
 * Encoded content that can't be decoded.
 *
 * @param offset byte offset near the error
 * @param problem description of the error
 */
public record MalformedContent(long offset, String problem) implements Failure {
    @Override
    public String code() {
        return "malformed_content";
    }

    @Override
    public String message() {
        return "at byte " + offset + ": " + problem;
    }
}
