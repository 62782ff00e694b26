package dev.kumquatweir.core.failure;

/**
 * A typed failure. Most modules define a sub-interface with one record for each case.
 * Implementations are immutable.
 */
public interface Failure {
    /** Returns the stable machine-readable code, in lower case with underscores. */
    String code();

    /** Returns a sentence for people, with the location of the fault if there is one. */
    String message();

    /** Returns whether the failed request is known to have been executed. */
    default Executed executed() {
        return Executed.NO;
    }
}
