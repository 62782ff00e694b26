package dev.kumquatweir.core.routing;

/** Whether an upstream accepts requests, as it reports itself. */
public enum UpstreamPhase {
    /** Accepts requests. */
    READY,
    /** Finishes its running requests and accepts no new ones. */
    DRAINING,
    /** Has deregistered. */
    GONE
}
