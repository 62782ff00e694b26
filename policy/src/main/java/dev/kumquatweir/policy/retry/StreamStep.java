package dev.kumquatweir.policy.retry;

/** What becomes of something that arrived on a stream. Implementations are immutable. */
public sealed interface StreamStep {
    /**
     * Pass the token to the caller.
     *
     * @param index index of the token in the whole answer
     */
    record Deliver(long index) implements StreamStep {}

    /** The caller already has this token. */
    record Duplicate() implements StreamStep {}

    /** It came from an attempt that is not current. */
    record NotCurrent() implements StreamStep {}

    /**
     * Tokens are missing, so the attempt is of no use any more: cancel it and resume.
     *
     * @param expected tokens that the caller has
     * @param found index that arrived, or length of the answer that the engine states
     */
    record Gap(long expected, long found) implements StreamStep {}

    /**
     * The answer is whole.
     *
     * @param tokens its length
     */
    record Complete(long tokens) implements StreamStep {}
}
