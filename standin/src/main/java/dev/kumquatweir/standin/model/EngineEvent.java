package dev.kumquatweir.standin.model;

/** What happened in a step of the engine. */
public sealed interface EngineEvent {
    /**
     * A token was produced.
     *
     * @param attempt its attempt
     * @param index its index in the whole answer
     * @param text its text
     */
    record Token(String attempt, long index, String text) implements EngineEvent {}

    /**
     * An attempt ended with its answer whole.
     *
     * @param attempt the attempt
     * @param finish {@code stop} or {@code length}
     * @param promptTokens length of the prompt
     * @param cachedTokens prompt tokens that needed no prefill
     * @param completionTokens length of the whole answer, resumed tokens included
     */
    record Finished(
            String attempt,
            String finish,
            long promptTokens,
            long cachedTokens,
            long completionTokens)
            implements EngineEvent {}

    /**
     * An attempt ended early.
     *
     * @param attempt the attempt
     * @param reason {@code cancelled} or {@code deadline_exceeded}
     */
    record Aborted(String attempt, String reason) implements EngineEvent {}

    /**
     * The engine crashed; all attempts and all memory contents are lost.
     *
     * @param reason {@code cold_overload} or {@code content}
     */
    record Crashed(String reason) implements EngineEvent {}
}
