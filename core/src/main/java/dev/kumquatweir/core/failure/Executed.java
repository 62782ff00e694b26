package dev.kumquatweir.core.failure;

/** Whether a failed request is known to have been executed. Decides whether a retry is safe. */
public enum Executed {
    /** Known: no upstream executed it and none will. */
    NO("no"),
    /** Known: it was executed, at least in part. */
    YES("yes"),
    /** It may have been executed. */
    UNKNOWN("unknown");

    private final String mWireName;

    Executed(String wireName) {
        mWireName = wireName;
    }

    /** Returns the value of the field {@code ran} in error bodies. */
    public String wireName() {
        return mWireName;
    }
}
