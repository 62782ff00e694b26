package dev.kumquatweir.agreement.lease;

import dev.kumquatweir.core.identity.InstanceId;

/**
 * An instance asks the leader for a configuration lease. Immutable.
 *
 * @param instance the instance
 * @param processNonce random number of its process
 * @param requestId number of the ask, ascending within the process
 * @param acknowledgedVersion version that the instance serves under, and acknowledges by this
 */
public record LeaseRequest(
        InstanceId instance, long processNonce, long requestId, long acknowledgedVersion) {}
