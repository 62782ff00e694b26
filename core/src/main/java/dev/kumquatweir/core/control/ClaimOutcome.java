package dev.kumquatweir.core.control;

/** Outcome of a granted claim. */
public sealed interface ClaimOutcome {
    /**
     * The upstream responded.
     *
     * @param response its response
     */
    record Finished(RecordedResponse response) implements ClaimOutcome {}

    /** The request was sent, but its outcome was not observed. */
    record Unknown() implements ClaimOutcome {}

    /** The request is known not to have been executed, and never will be under this claim. */
    record NotExecuted() implements ClaimOutcome {}
}
