package dev.kumquatweir.program.burn;

/** What is counted. The positions are part of the stored form and never reused. */
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
    /** Finished requests whose first token came later. */
    FIRST_TOKEN_LATE(6),
    /** Admitted requests whose caller left. */
    CALLER_GONE(7),
    /** Admitted requests that ran when their instance died. */
    LOST(8);

    private final int mPosition;

    BurnCount(int position) {
        mPosition = position;
    }

    /** Returns where the number stands among the numbers of a span of time. */
    public int position() {
        return mPosition;
    }
}
