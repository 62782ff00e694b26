package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;

/**
 * What an engine says it holds. Immutable.
 *
 * @param upstream the engine
 * @param incarnation the incarnation that answered
 * @param attempts the attempts that run or hold memory
 * @param exports the KV exports not yet released
 */
public record EngineListing(
        UpstreamId upstream,
        long incarnation,
        List<HeldAttempt> attempts,
        List<HeldExport> exports) {
    /** Copies the lists, so that the record is immutable. */
    public EngineListing {
        attempts = List.copyOf(attempts);
        exports = List.copyOf(exports);
    }

    /**
     * One attempt on the engine.
     *
     * @param attempt the attempt
     * @param tokens memory it holds
     */
    public record HeldAttempt(AttemptId attempt, long tokens) {}

    /**
     * One export on the engine.
     *
     * @param handle its handle
     * @param tokens memory it holds
     */
    public record HeldExport(String handle, long tokens) {}
}
