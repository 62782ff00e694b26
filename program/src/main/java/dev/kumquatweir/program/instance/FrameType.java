package dev.kumquatweir.program.instance;

/** Types of the frames between instances. The numbers are part of the protocol and never reused. */
public enum FrameType {
    /** A message of the agreement core. */
    AGREEMENT(1),
    /** Renewal of a configuration lease. */
    LEASE(2),
    /** A command for the replicated state machine. */
    COMMAND(3),
    /** Asks what a new group has to know of a member's store. */
    FOUNDING(4),
    /** Renewal of permits for shared limits. */
    PERMIT(5),
    /** An upstream's announcement. */
    ANNOUNCEMENT(10),
    /** An upstream's load report. */
    LOAD(11),
    /** An upstream's cache events. */
    CACHE(12),
    /** An upstream's word that it leaves. */
    LEAVE(13),
    /** Asks for an announcement that the sender of a report has. */
    ANNOUNCEMENT_WANTED(14),
    /** Asks for all cache entries of an engine that the receiver hears. */
    CACHE_WANTED(16),
    /** Marks of requests that crash upstreams. */
    QUARANTINE(15),
    /** An instance's incarnation, and whether it has ended. */
    PRESENCE(17),
    /** Asks a control instance for what has changed. */
    WATCH(20),
    /** Asks the scheduler of the leader for an upstream. */
    PLACE(21),
    /** Tells the scheduler what became of a placement. */
    PLACEMENT_EVENT(22),
    /** Asks for sums of the burn counters. */
    BURN(40);

    private final int mNumber;

    FrameType(int number) {
        mNumber = number;
    }

    /** Returns the number in the frame. */
    public int number() {
        return mNumber;
    }
}
