package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.InstanceId;

/**
 * The instance that created an attempt, as {@link AttemptIds} parses it from the id. Immutable.
 *
 * @param instance the instance
 * @param incarnation incarnation of the instance
 * @param number number of the attempt within the incarnation
 */
public record AttemptOrigin(InstanceId instance, long incarnation, long number) {}
