package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.identity.InstanceId;

/**
 * Newest fencing token for a purpose. Immutable.
 *
 * @param purpose resource or role that the epoch protects
 * @param epoch index of the log entry that acquired it, so that epochs are unique and increase,
 *     also across leader changes
 * @param holder instance that acquired it
 */
public record FencingEpoch(String purpose, long epoch, InstanceId holder) {}
