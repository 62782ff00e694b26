package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;

/** An action requested by {@link MemoryLedger#reconcile}. Implementations are immutable. */
public sealed interface MemoryAction {
    /**
     * Cancel an attempt without an owner.
     *
     * @param upstream the engine that lists it
     * @param attempt the attempt
     */
    record CancelAttempt(UpstreamId upstream, AttemptId attempt) implements MemoryAction {}

    /**
     * Release an export without an owner.
     *
     * @param upstream the engine that lists it
     * @param handle handle of the export
     */
    record ReleaseExport(UpstreamId upstream, String handle) implements MemoryAction {}

    /**
     * Treat an attempt of this instance as failed, because its engine no longer lists it.
     *
     * @param upstream the engine on which it is reserved
     * @param attempt the attempt
     */
    record AttemptMissing(UpstreamId upstream, AttemptId attempt) implements MemoryAction {}
}
