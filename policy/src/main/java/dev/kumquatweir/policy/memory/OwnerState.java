package dev.kumquatweir.policy.memory;

/**
 * State of the instance incarnation that owns an attempt or an export, as far as it is known.
 * Implementations are immutable.
 */
public sealed interface OwnerState {
    /** A message from this incarnation arrived recently. */
    record Live() implements OwnerState {}

    /** This incarnation is known to have terminated. */
    record Terminated() implements OwnerState {}

    /**
     * No message arrived recently: the incarnation has terminated, or it is partitioned from this
     * instance and its attempts continue.
     */
    record Unresponsive() implements OwnerState {}
}
