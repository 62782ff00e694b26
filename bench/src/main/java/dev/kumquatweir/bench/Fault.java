package dev.kumquatweir.bench;

/** One planned event of a schedule. Upstreams are named by their number, engines first. */
sealed interface Fault {
    /** Returns when it happens. */
    long atNanos();

    /** Operators take a failure domain out. */
    record DomainOut(long atNanos, int domain) implements Fault {}

    /** Operators return all failure domains. */
    record DomainsIn(long atNanos) implements Fault {}

    /** An upstream dies and starts again, engines cold. */
    record Death(long atNanos, int upstream) implements Fault {}

    /** An engine becomes cold without warning. */
    record ColdAgain(long atNanos, int upstream) implements Fault {}

    /** An engine stops for a time, heartbeats included. */
    record Freeze(long atNanos, int upstream, long nanos) implements Fault {}

    /** The open connections of an instance to an engine go silent. */
    record Silence(long atNanos, int upstream, int instance) implements Fault {}
}
