package dev.kumquatweir.policy.memory;

/** What is known of an instance that owns something. Implementations are immutable. */
public sealed interface OwnerState {
    /** It was heard of recently under this incarnation. */
    record Live() implements OwnerState {}

    /** This incarnation is proved to be dead. */
    record Terminated() implements OwnerState {}

    /** It is not heard of: dead, or cut off while its work goes on. */
    record Unresponsive() implements OwnerState {}
}
