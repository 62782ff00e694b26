package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;

/**
 * Attempts and KV exports that an engine reports to hold memory for. Immutable.
 *
 * @param upstream the engine
 * @param incarnation incarnation of the engine that returned the listing
 * @param attempts the attempts that are running or hold memory
 * @param exports the KV exports not yet released
 */
public record EngineListing(
        UpstreamId upstream,
        long incarnation,
        List<HeldAttempt> attempts,
        List<HeldExport> exports) {
    /** Copies the lists. */
    public EngineListing {
        attempts = List.copyOf(attempts);
        exports = List.copyOf(exports);
    }

    /**
     * An attempt on the engine.
     *
     * @param attempt the attempt
     * @param tokens memory that it holds, in tokens
     */
    public record HeldAttempt(AttemptId attempt, long tokens) {}

    /**
     * A KV export on the engine.
     *
     * @param handle handle of the export
     * @param tokens memory that it holds, in tokens
     */
    public record HeldExport(String handle, long tokens) {}
}
