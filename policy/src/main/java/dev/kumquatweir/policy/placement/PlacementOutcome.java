package dev.kumquatweir.policy.placement;

/** The result of a placement. */
public enum PlacementOutcome {
    /** The upstream sent a complete answer. */
    ANSWERED,
    /** The upstream answered with an error. */
    UPSTREAM_ERROR,
    /** No connection could be opened; nothing was sent. */
    NOT_CONNECTED,
    /** The upstream refused the request for lack of capacity and did not run it. */
    FULL,
    /** The address belongs to another upstream, which did not run the request. */
    MISDIRECTED,
    /** The connection failed, or an invalid answer arrived, after the request was sent. */
    BROKEN,
    /** The upstream sent nothing within the time-out. */
    SILENT,
    /** The caller disconnected, or the instance cancelled the request. */
    CANCELLED,
    /**
     * What arrived was not the answer to the request. The connection or the upstream is at fault,
     * not the content of the request, which may have been executed.
     */
    UNPROVEN
}
