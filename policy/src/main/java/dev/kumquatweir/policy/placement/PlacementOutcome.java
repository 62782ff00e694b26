package dev.kumquatweir.policy.placement;

/** How a placement ended. */
public enum PlacementOutcome {
    /** The upstream answered in full. */
    ANSWERED,
    /** The upstream answered with a failure of its own. */
    UPSTREAM_ERROR,
    /** No connection could be opened; nothing was sent. */
    NOT_CONNECTED,
    /** The upstream had no room and did not run it. */
    FULL,
    /** Another upstream has the address; it did not run it. */
    MISDIRECTED,
    /** The connection broke, or brought what is no answer, after the request was sent. */
    BROKEN,
    /** Nothing came for too long. */
    SILENT,
    /** The caller left, or the instance gave the request up. */
    CANCELLED
}
