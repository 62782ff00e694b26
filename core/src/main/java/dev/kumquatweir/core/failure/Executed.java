package dev.kumquatweir.core.failure;

/** What is known about the execution of a request that failed. */
public enum Executed {
    /** Proved: no upstream executed it and none will. */
    NO("no"),
    /** It was executed, at least in part. */
    YES("yes"),
    /** It may have been executed. */
    UNKNOWN("unknown");

    private final String mWireName;

    Executed(String wireName) {
        mWireName = wireName;
    }

    /** Returns the word used in error bodies. */
    public String wireName() {
        return mWireName;
    }
}
