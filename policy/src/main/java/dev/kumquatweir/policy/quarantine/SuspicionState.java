package dev.kumquatweir.policy.quarantine;

/** How far a death is held against a request. In order: of two words on it the later one wins. */
public enum SuspicionState {
    /** The connection was lost; whether the upstream died is not known yet. */
    PROVISIONAL,
    /** The upstream died while the request ran on it. */
    CONFIRMED,
    /** The upstream stopped by plan or fell with its domain, or the request ran well alone. */
    EXCUSED
}
