package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.identity.InstanceId;

/**
 * Newest start of an instance. Immutable.
 *
 * @param instance the instance
 * @param nonce number drawn by the starting process
 * @param incarnation index of the log entry that began it
 */
public record InstanceStart(InstanceId instance, long nonce, long incarnation) {}
