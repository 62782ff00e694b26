package dev.kumquatweir.policy.placement;

/** Why a request gets no upstream. */
public enum PlacementRefusal {
    /** It can't be answered before its caller leaves. */
    TOO_LATE,
    /** No upstream of the service is known. */
    NO_UPSTREAM,
    /** It was sent before, and the budget for sending again is spent. */
    REPEAT_BUDGET,
    /** Upstreams crashed while they ran it. */
    QUARANTINED
}
