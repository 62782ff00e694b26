package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Counters of placements that cross between failure domains. */
final class CrossingMetricsTest {
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final CrossingMetrics mCrossings = new CrossingMetrics(mMetrics, 0);

    /** Guards against counting placements within a domain, or a pair in the wrong direction. */
    @Test
    void crossingsAreCountedByPair() {
        hear("up-1", "zone-a");
        hear("up-2", "zone-b");
        place("zone-a", "up-1");
        place("zone-a", "up-2");
        place("zone-a", "up-2");
        place("zone-b", "up-1");
        mCrossings.placed(Optional.empty(), new UpstreamId("up-1"), 0);
        place("zone-a", "unknown");
        assertThat(count("kumquatweir_scheduler_placements"), is(6L));
        assertThat(count("kumquatweir_scheduler_crossings_zone_a_zone_b"), is(2L));
        assertThat(count("kumquatweir_scheduler_crossings_zone_b_zone_a"), is(1L));
        assertThat(mMetrics.getCounters().size(), is(3));
    }

    /** Guards against counters without bound when domains change their names. */
    @Test
    void pairsAreBounded() {
        hear("up-1", "zone-a");
        for (int number = 0; number < 1_000; number++) {
            place("zone-" + number, "up-1");
        }
        assertThat(mMetrics.getCounters().size(), lessThanOrEqualTo(66));
        assertThat(count("kumquatweir_scheduler_crossings_other") > 900, is(true));
    }

    private long count(String name) {
        return mMetrics.counter(name).getCount();
    }

    private void place(String from, String upstream) {
        mCrossings.placed(Optional.of(new FailureDomain(from)), new UpstreamId(upstream), 0);
    }

    private void hear(String upstream, String domain) {
        mCrossings.heard(
                new UpstreamStatus(
                        new UpstreamId(upstream),
                        1,
                        new ServiceName("engines"),
                        "10.2.0.1:80",
                        new FailureDomain(domain),
                        8,
                        UpstreamPhase.READY,
                        0,
                        1));
    }
}
