package dev.kumquatweir.core.routing;

/** What an upstream says of taking work. */
public enum UpstreamPhase {
    /** It takes work. */
    READY,
    /** It finishes its work and takes no more. */
    DRAINING,
    /** It has left. */
    GONE
}
