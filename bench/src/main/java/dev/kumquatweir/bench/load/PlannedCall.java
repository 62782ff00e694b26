package dev.kumquatweir.bench.load;

import java.net.URI;
import java.util.List;

/** One call of the schedule. */
sealed interface PlannedCall {
    /** Returns when it is sent, counted from the start of the run. */
    long offsetNanos();

    /** Returns its name, unique over all runs. */
    String name();

    /** Returns its number in the run, from 0. */
    int number();

    /** Returns the target of its first try; later tries go round the list. */
    default URI target(List<URI> targets, int attempt) {
        return targets.get((number() + attempt) % targets.size());
    }

    /**
     * A streamed chat completion.
     *
     * @param number number in the run
     * @param name unique name
     * @param offsetNanos when it is sent
     * @param lengthClass its class
     * @param promptTokens length of the prompt
     * @param group requests of a group share the start of their prompts
     */
    record Chat(
            int number,
            String name,
            long offsetNanos,
            LengthClass lengthClass,
            long promptTokens,
            int group)
            implements PlannedCall {}

    /**
     * An action that may not be repeated; its name is its idempotency key.
     *
     * @param number number in the run
     * @param name unique name
     * @param offsetNanos when it is sent
     * @param path path below the target
     */
    record Action(int number, String name, long offsetNanos, String path) implements PlannedCall {}
}
