package dev.kumquatweir.core.control;

/** How a granted claim ended. */
public sealed interface ClaimOutcome {
    /**
     * The upstream answered.
     *
     * @param answer its answer
     */
    record Finished(RecordedAnswer answer) implements ClaimOutcome {}

    /** The request was sent, and its end was not seen. */
    record Unknown() implements ClaimOutcome {}

    /** Proved: the request was not executed and never will be under this claim. */
    record NotRun() implements ClaimOutcome {}
}
