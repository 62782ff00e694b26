package dev.kumquatweir.core.control;

/** How a granted claim ended. */
public sealed interface ClaimOutcome {
    /**
     * The upstream answered.
     *
     * @param response its answer
     */
    record Finished(RecordedResponse response) implements ClaimOutcome {}

    /** The request was sent, and its end was not seen. */
    record Unknown() implements ClaimOutcome {}

    /** Proved: the request was not executed and never will be under this claim. */
    record NotExecuted() implements ClaimOutcome {}
}
