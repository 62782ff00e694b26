package dev.kumquatweir.core.routing;

/** How often one request may be executed. */
public enum Repeatability {
    /** The request may be executed any number of times. */
    IDEMPOTENT,
    /** The request may be executed at most once. */
    ONCE,
    /** A retry may resume the stream after the last event that was delivered. */
    RESUMABLE;

    /** Returns whether the request may be sent again although it may have been executed. */
    public boolean allowsReexecution() {
        return this != ONCE;
    }
}
