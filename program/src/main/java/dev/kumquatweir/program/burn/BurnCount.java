package dev.kumquatweir.program.burn;

/** Outcomes that are counted. The positions are part of the stored format and are never reused. */
public enum BurnCount {
    /** Requests that were admitted. */
    ADMITTED(0),
    /** Requests that finished before their deadline. */
    IN_TIME(1),
    /** Requests that finished after their deadline. */
    LATE(2),
    /** Admitted requests that failed. */
    FAILED(3),
    /** Requests that were not admitted. */
    REFUSED(4),
    /** Finished requests whose first token came within the bound of the objective. */
    FIRST_TOKEN_IN_BOUND(5),
    /** Finished requests whose first token came after the bound of the objective. */
    FIRST_TOKEN_LATE(6),
    /** Admitted requests whose caller disconnected. */
    CALLER_GONE(7),
    /** Admitted requests that were running when their instance crashed. */
    LOST(8);

    private final int mPosition;

    BurnCount(int position) {
        mPosition = position;
    }

    /** Returns the index of this outcome in {@link BurnCounts#values}. */
    public int position() {
        return mPosition;
    }
}
