package dev.kumquatweir.gateway.forward;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

/** Counters and latency histograms of forwarded requests. Thread-safe. */
final class ForwardingMetrics {
    private static final int RESERVOIR_SIZE = 256;
    private static final double DECAY_FACTOR = 0.015;

    private final MetricRegistry mRegistry;
    private final Histogram mFirstEventMillis;
    private final Histogram mEventGapMillis;
    private final Histogram mPlacementWaitMillis;

    ForwardingMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mFirstEventMillis = histogram("kumquatweir_forward_first_milliseconds");
        mEventGapMillis = histogram("kumquatweir_forward_gap_milliseconds");
        mPlacementWaitMillis = histogram("kumquatweir_forward_placement_milliseconds");
    }

    void recordFirstEvent(long millis) {
        mFirstEventMillis.update(millis);
    }

    void recordEventGap(long millis) {
        mEventGapMillis.update(millis);
    }

    void recordPlacementWait(long millis) {
        mPlacementWaitMillis.update(millis);
    }

    void countEnded(String outcome) {
        mRegistry.counter("kumquatweir_forward_requests_" + outcome).inc();
    }

    /** Counts a request that arrives during a planned stop. */
    void countDuringStop() {
        mRegistry.counter("kumquatweir_forward_requests_during_stop").inc();
    }

    void countResent(String reason) {
        mRegistry.counter("kumquatweir_forward_resent_" + reason).inc();
    }

    private Histogram histogram(String name) {
        return mRegistry.histogram(
                name,
                () ->
                        new Histogram(
                                new ExponentiallyDecayingReservoir(RESERVOIR_SIZE, DECAY_FACTOR)));
    }
}
