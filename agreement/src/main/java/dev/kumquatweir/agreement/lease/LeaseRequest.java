package dev.kumquatweir.agreement.lease;

import dev.kumquatweir.core.identity.InstanceId;

/**
 * Request of an instance to the leader for a configuration lease. Immutable.
 *
 * @param instance the instance
 * @param processNonce random number that identifies its process
 * @param requestId number of the request, ascending within the process
 * @param acknowledgedVersion configuration version that the instance uses, acknowledged by this
 *     request
 */
public record LeaseRequest(
        InstanceId instance, long processNonce, long requestId, long acknowledgedVersion) {}
