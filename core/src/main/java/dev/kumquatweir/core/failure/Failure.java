package dev.kumquatweir.core.failure;

/**
 * A typed failure. Each area has its own sealed sub-interface with one record for each case.
 * Implementations are immutable.
 */
public interface Failure {
    /** Returns the stable machine-readable code, in lower case with underscores. */
    String code();

    /** Returns one sentence for people, with the location of the fault where there is one. */
    String message();

    /** Returns what is known about the execution of the request that failed. */
    default Executed executed() {
        return Executed.NO;
    }
}
