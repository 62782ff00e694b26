package dev.kumquatweir.policy.retry;

/** How to handle a token or an end of stream that arrived. Implementations are immutable. */
public sealed interface StreamStep {
    /**
     * Forward the token to the caller.
     *
     * @param index index of the token in the whole answer
     */
    record Deliver(long index) implements StreamStep {}

    /** The caller already has this token. */
    record Duplicate() implements StreamStep {}

    /** The attempt is not the current one. */
    record NotCurrent() implements StreamStep {}

    /**
     * Tokens are missing: cancel the attempt and resume.
     *
     * @param expected tokens delivered to the caller
     * @param found index that arrived, or length of the answer as reported by the engine
     */
    record Gap(long expected, long found) implements StreamStep {}

    /**
     * The answer is complete.
     *
     * @param tokens length of the answer, in tokens
     */
    record Complete(long tokens) implements StreamStep {}
}
