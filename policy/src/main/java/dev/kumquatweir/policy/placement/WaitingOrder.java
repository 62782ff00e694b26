package dev.kumquatweir.policy.placement;

import java.util.Comparator;

/** The order in which the scheduler decides on waiting requests. Stateless. */
final class WaitingOrder {
    /**
     * Requests that can still meet their target first, then retries and resumptions that were late
     * on arrival; then by priority, then by value per millisecond of engine time, so that a burst
     * of long prompts does not delay short ones.
     */
    static final Comparator<WaitingRequest> COMPARATOR =
            Comparator.comparing(WaitingRequest::late)
                    .thenComparing(waiting -> !waiting.lateOnArrival())
                    .thenComparingInt(waiting -> waiting.request().priority())
                    .thenComparingDouble(waiting -> -waiting.valueDensity());

    private WaitingOrder() {}
}
