package dev.kumquatweir.agreement.lease;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.SortedSet;

/** Whether a configuration version is in force everywhere. */
public sealed interface RolloutStatus {
    /** No instance serves under an earlier version any more. */
    record InForce() implements RolloutStatus {}

    /**
     * Some instance may still serve under an earlier version.
     *
     * @param instances instances that have not acknowledged the version; may be empty while a new
     *     leader waits for leases it does not know
     * @param untilNanos leader's time at which the last of these leases has expired
     */
    record Waiting(SortedSet<InstanceId> instances, long untilNanos) implements RolloutStatus {}

    /** This replica does not lead. */
    record NotLeading() implements RolloutStatus {}
}
