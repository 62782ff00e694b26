package dev.kumquatweir.program.fleet;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Counts the placements on upstreams in another failure domain than the caller's instance. Confined
 * to the thread of the scheduler.
 */
final class CrossingMetrics {
    private static final EventLog LOG = EventLog.of(CrossingMetrics.class);
    private static final String PREFIX = "kumquatweir_scheduler_crossings_";

    /** Pairs with counters of their own: eight domains with each other. */
    private static final int MAXIMUM_PAIRS = 64;

    /** Upstreams whose domain is remembered; the one heard least recently is forgotten first. */
    private static final int MAXIMUM_UPSTREAMS = 1_024;

    private static final long LOG_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final MetricRegistry mMetrics;
    private final Map<UpstreamId, FailureDomain> mDomains =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<UpstreamId, FailureDomain> eldest) {
                    return size() > MAXIMUM_UPSTREAMS;
                }
            };
    private final Map<String, Long> mPairs = new TreeMap<>();
    private long mPlaced;
    private long mLoggedNanos;

    CrossingMetrics(MetricRegistry metrics, long nowNanos) {
        mMetrics = metrics;
        mLoggedNanos = nowNanos;
    }

    /** Records the domain of an upstream. */
    void heard(UpstreamStatus status) {
        mDomains.put(status.id(), status.domain());
    }

    /**
     * Counts a placement, and writes the sums of the last minute to the log.
     *
     * @param from domain of the caller's instance, empty if it is not known
     */
    void placed(Optional<FailureDomain> from, UpstreamId upstream, long nowNanos) {
        mMetrics.counter("kumquatweir_scheduler_placements").inc();
        mPlaced++;
        Optional<FailureDomain> to = Optional.ofNullable(mDomains.get(upstream));
        if (from.isPresent() && to.isPresent() && !from.equals(to)) {
            String pair = pair(from.get(), to.get());
            mMetrics.counter(PREFIX + pair).inc();
            mPairs.merge(pair, 1L, Long::sum);
        }
        if (nowNanos - mLoggedNanos >= LOG_INTERVAL_NANOS) {
            mLoggedNanos = nowNanos;
            LOG.info("placements_crossed", "placed", mPlaced, "crossed", mPairs);
            mPlaced = 0;
            mPairs.replaceAll((known, count) -> 0L);
        }
    }

    private String pair(FailureDomain from, FailureDomain to) {
        String pair = (from + "_" + to).replaceAll("[^A-Za-z0-9]", "_");
        return mPairs.containsKey(pair) || mPairs.size() < MAXIMUM_PAIRS ? pair : "other";
    }
}
