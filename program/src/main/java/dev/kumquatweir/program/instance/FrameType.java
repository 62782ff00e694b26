package dev.kumquatweir.program.instance;

/**
 * Types of the frames that instances exchange. The numbers are part of the wire protocol and are
 * never reused.
 */
public enum FrameType {
    /** A Raft message between replicas of the control plane. */
    AGREEMENT(1),
    /** Request to renew a configuration lease. */
    LEASE(2),
    /** A command to be replicated and applied by the state machine. */
    COMMAND(3),
    /** Asks a member for the state of its store while a new group is founded. */
    FOUNDING(4),
    /** Request to renew permits for limits that instances share. */
    PERMIT(5),
    /** An announcement of an upstream, forwarded by the instance that received it. */
    ANNOUNCEMENT(10),
    /** A load report of an upstream, forwarded by the instance that received it. */
    LOAD(11),
    /** KV cache events of an upstream, forwarded by the instance that received them. */
    CACHE(12),
    /** Notice that an upstream leaves. */
    LEAVE(13),
    /** Asks the sender of a load report for the announcement of that upstream. */
    ANNOUNCEMENT_WANTED(14),
    /** Asks an instance for the full list of cache entries of an engine that reports to it. */
    CACHE_WANTED(16),
    /** Quarantine marks of requests that crash upstreams, and exclusive uses of upstreams. */
    QUARANTINE(15),
    /** The incarnation of an instance, and whether that incarnation has stopped. */
    PRESENCE(17),
    /** Asks a control instance for changes since the last known state. */
    WATCH(20),
    /** Asks the scheduler on the leader to place a request on an upstream. */
    PLACE(21),
    /** Reports the outcome of a placement to the scheduler. */
    PLACEMENT_EVENT(22),
    /** Asks a control instance which extensions of these messages it knows. */
    CAPABILITIES(23),
    /** As {@link #WATCH}; the routing document in the response is compressed. */
    WATCH_COMPACT(24),
    /** Asks an instance for the sums of its burn counters. */
    BURN(40);

    private final int mNumber;

    FrameType(int number) {
        mNumber = number;
    }

    /** Returns the number that identifies this type in a frame. */
    public int number() {
        return mNumber;
    }
}
