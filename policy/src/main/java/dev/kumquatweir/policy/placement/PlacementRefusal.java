package dev.kumquatweir.policy.placement;

/** The reason for which a request is rejected. */
public enum PlacementRefusal {
    /** It cannot be answered before its deadline. */
    TOO_LATE,
    /** The service has no available upstream. */
    NO_UPSTREAM,
    /** The limits that the upstreams name leave no room for it before it is too late. */
    LIMITED,
    /** It is a retry, and the retry budget is exhausted. */
    REPEAT_BUDGET,
    /** Several upstreams failed while they ran the same content. */
    QUARANTINED
}
