package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;

/** What reconciliation wants done. Implementations are immutable. */
public sealed interface MemoryAction {
    /**
     * Cancel an attempt that nobody owns.
     *
     * @param upstream where it runs
     * @param attempt the attempt
     */
    record CancelAttempt(UpstreamId upstream, AttemptId attempt) implements MemoryAction {}

    /**
     * Release an export that nobody owns.
     *
     * @param upstream where it lies
     * @param handle its handle
     */
    record ReleaseExport(UpstreamId upstream, String handle) implements MemoryAction {}

    /**
     * The engine does not know an attempt of this instance any more: treat it as broken.
     *
     * @param upstream where it was reserved
     * @param attempt the attempt
     */
    record AttemptMissing(UpstreamId upstream, AttemptId attempt) implements MemoryAction {}
}
