package dev.kumquatweir.policy.locality;

/**
 * Expected completion of a call of a plain service on one upstream. Load pattern: a small service
 * whose upstreams are spread unevenly over failure domains (2/1/1), of which one may be slow.
 *
 * @param usualMillis time that upstreams of the service take usually
 * @param workMillis time that this one takes, without the crossing
 * @param roundTripMillis time from the caller's instance to the upstream and back
 * @param foreign whether it is in another failure domain than the caller's instance
 * @param callsBefore calls that run there
 * @param slots calls that it runs at once
 */
public record CallCompletion(
        double usualMillis,
        double workMillis,
        double roundTripMillis,
        boolean foreign,
        int callsBefore,
        int slots) {
    /**
     * Ratio to the usual time below which an upstream counts as normal. The scheduler measures from
     * the placement to the report of its end, which adds the way to the caller's instance.
     */
    private static final double SLOW_RATIO = 1.35;

    /**
     * Price of a crossing beyond its time, in usual times: a lost packet delays the call. With a
     * usual time of 100 ms and a round trip of 8 ms, a single call in one of six slots does not yet
     * make another domain preferable.
     */
    private static final double CROSSING_PRICE = 0.1;

    /**
     * Returns the expected time until the completion, in usual times. Each call that runs before it
     * adds the part of the work time that a slot is of the upstream, since calls in parallel delay
     * each other and a queue may lie behind the slots.
     */
    public double expected() {
        double ratio = workMillis / usualMillis;
        double slowdown = ratio < SLOW_RATIO ? 1 : ratio;
        double position = (double) callsBefore / Math.max(1, slots);
        return slowdown * (1 + position)
                + roundTripMillis / usualMillis
                + (foreign ? CROSSING_PRICE : 0);
    }
}
