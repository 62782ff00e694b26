package dev.kumquatweir.gateway.dispatch;

import dev.kumquatweir.policy.dispatch.WorkRequest;
import java.util.concurrent.TimeUnit;

/**
 * How long an attempt may be silent. The time before the first token grows with the prompt, so that
 * a long prefill is not taken for a dead connection. Immutable.
 *
 * @param betweenTokensNanos after the first token
 * @param firstTokenNanos before the first token of an empty prompt
 * @param promptTokenNanos added for each token of the prompt
 */
record SilenceLimit(long betweenTokensNanos, long firstTokenNanos, long promptTokenNanos) {
    static final SilenceLimit DEFAULT =
            new SilenceLimit(
                    TimeUnit.SECONDS.toNanos(5),
                    TimeUnit.SECONDS.toNanos(10),
                    TimeUnit.MICROSECONDS.toNanos(500));

    long nanos(WorkRequest request, long tokens) {
        if (request.model() == null) {
            return Long.MAX_VALUE;
        }
        return tokens > 0
                ? betweenTokensNanos
                : firstTokenNanos + promptTokenNanos * request.promptTokens();
    }
}
