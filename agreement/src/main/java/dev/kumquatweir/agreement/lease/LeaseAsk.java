package dev.kumquatweir.agreement.lease;

import dev.kumquatweir.core.identity.InstanceId;

/**
 * An instance asks the leader for a configuration lease. Immutable.
 *
 * @param instance the instance
 * @param processNonce random number of its process
 * @param askId number of the ask, ascending within the process
 * @param haveVersion version that the instance serves under, and acknowledges by this
 */
public record LeaseAsk(InstanceId instance, long processNonce, long askId, long haveVersion) {}
