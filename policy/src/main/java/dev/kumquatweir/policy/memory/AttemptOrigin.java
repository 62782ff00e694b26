package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.InstanceId;

/**
 * Who made an attempt, as {@link AttemptIds} reads it from the attempt's id. Immutable.
 *
 * @param instance the instance
 * @param incarnation incarnation of the instance
 * @param number counts the attempts of the incarnation
 */
public record AttemptOrigin(InstanceId instance, long incarnation, long number) {}
