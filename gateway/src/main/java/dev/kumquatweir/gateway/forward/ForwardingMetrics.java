package dev.kumquatweir.gateway.forward;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

/** Counters and latency histograms of forwarded requests. Thread-safe. */
final class ForwardingMetrics {
    private static final int SAMPLES = 256;
    private static final double DECAY = 0.015;

    private final MetricRegistry mRegistry;
    private final Histogram mFirst;
    private final Histogram mGap;
    private final Histogram mWait;

    ForwardingMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mFirst = histogram("kumquatweir_forward_first_milliseconds");
        mGap = histogram("kumquatweir_forward_gap_milliseconds");
        mWait = histogram("kumquatweir_forward_placement_milliseconds");
    }

    void first(long millis) {
        mFirst.update(millis);
    }

    void gap(long millis) {
        mGap.update(millis);
    }

    void waited(long millis) {
        mWait.update(millis);
    }

    void ended(String outcome) {
        mRegistry.counter("kumquatweir_forward_requests_" + outcome).inc();
    }

    void resent(String reason) {
        mRegistry.counter("kumquatweir_forward_resent_" + reason).inc();
    }

    private Histogram histogram(String name) {
        return mRegistry.histogram(
                name, () -> new Histogram(new ExponentiallyDecayingReservoir(SAMPLES, DECAY)));
    }
}
