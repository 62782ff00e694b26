package dev.kumquatweir.gateway.dispatch;

/**
 * How a generation ended. Immutable.
 *
 * @param finishReason {@code stop} or {@code length}
 * @param promptTokens length of the prompt as the engine counted it
 * @param cachedTokens prompt tokens that the engine had cached
 * @param completionTokens length of the whole answer, resumed tokens included
 */
public record GenerationSummary(
        String finishReason, long promptTokens, long cachedTokens, long completionTokens) {}
