package dev.kumquatweir.policy.retry;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;

/** How one attempt of a request ended without an answer. Implementations are immutable. */
public sealed interface AttemptEnd {
    /** Returns the upstream of the attempt. */
    UpstreamId upstream();

    /** Returns the failure domain of the upstream. */
    FailureDomain domain();

    /** Returns when the attempt ended. */
    long endedNanos();

    /**
     * The attempt is known not to have executed.
     *
     * @param upstream the upstream it was sent to
     * @param domain failure domain of the upstream
     * @param reason why it was refused
     * @param endedNanos when
     */
    record NotRun(
            UpstreamId upstream,
            FailureDomain domain,
            AttemptEvent.RefusalReason reason,
            long endedNanos)
            implements AttemptEnd {}

    /**
     * The attempt may have executed in part.
     *
     * @param upstream the upstream it ran on
     * @param domain failure domain of the upstream
     * @param how why it broke off
     * @param endedNanos when
     */
    record MayHaveRun(
            UpstreamId upstream, FailureDomain domain, AttemptEvent.BreakCause how, long endedNanos)
            implements AttemptEnd {}
}
