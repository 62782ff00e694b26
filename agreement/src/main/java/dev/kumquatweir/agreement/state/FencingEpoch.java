package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.identity.InstanceId;

/**
 * Newest fencing epoch for a purpose. Immutable.
 *
 * @param purpose what it protects
 * @param epoch index of the log entry that took it, so no two are equal and each is larger than all
 *     before it, also across changes of the leader
 * @param holder who took it
 */
public record FencingEpoch(String purpose, long epoch, InstanceId holder) {}
