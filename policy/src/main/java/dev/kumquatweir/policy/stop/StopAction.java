package dev.kumquatweir.policy.stop;

/** What happens to a request during a planned stop. */
public enum StopAction {
    /** The request goes on. */
    CONTINUE,

    /**
     * The caller is told at once that the request was not executed and may go to another instance.
     */
    REJECT,

    /** The caller gets a final error; the request may have been executed. */
    FAIL,

    /** The answer is broken off in a way that does not look complete. */
    ABORT
}
