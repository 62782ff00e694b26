package dev.kumquatweir.core.routing;

/** How often the work of one request may run. */
public enum Repeatability {
    /** The request may run any number of times. */
    IDEMPOTENT,
    /** The request may run at most once. */
    ONCE,
    /** Another run may go on after the last event that was delivered. */
    RESUMABLE;

    /** Returns whether the request may be sent again although it may have run. */
    public boolean allowsReexecution() {
        return this != ONCE;
    }
}
