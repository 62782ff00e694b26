package dev.kumquatweir.agreement.lease;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.SortedSet;

/** Whether a configuration version is in force on all instances. */
public sealed interface RolloutStatus {
    /** No instance uses an earlier version any more. */
    record InForce() implements RolloutStatus {}

    /**
     * Some instance may still use an earlier version.
     *
     * @param instances instances that have not acknowledged the version; may be empty while a new
     *     leader waits for leases that an earlier leader may have granted
     * @param untilNanos leader's monotonic time at which the last of these leases has expired
     */
    record Waiting(SortedSet<InstanceId> instances, long untilNanos) implements RolloutStatus {}

    /** This replica is not the leader. */
    record NotLeading() implements RolloutStatus {}
}
