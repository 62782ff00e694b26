package dev.kumquatweir.policy.quarantine;

/**
 * How far a termination of an upstream is attributed to a request. When two states are merged, the
 * later constant wins.
 */
public enum SuspicionState {
    /** The connection was lost; it is not known yet whether the upstream crashed. */
    PROVISIONAL,
    /** The upstream crashed while the request ran on it. */
    CONFIRMED,
    /**
     * The request is not the cause: the upstream shut down as planned or was lost with its failure
     * domain, or the request succeeded alone.
     */
    EXCUSED
}
