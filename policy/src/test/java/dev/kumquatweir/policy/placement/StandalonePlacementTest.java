package dev.kumquatweir.policy.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.CallerLimits;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Tests standalone mode right after the loss of the leader: many instances place the same burst of
 * requests without coordination.
 */
final class StandalonePlacementTest {
    private static final int INSTANCES = 26;
    private static final int ENGINES = 45;
    private static final int STARTS_PER_SECOND = 14;
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /**
     * Guards against a share of the start limit below one request per second, with which nothing is
     * ever placed.
     */
    @Test
    void everyInstancePlacesRequests() {
        List<PlacementAction> actions = burst(1);
        assertThat(actions.stream().allMatch(PlacementAction.Grant.class::isInstance), is(true));
    }

    /** Guards against all instances choosing the first of several equal engines. */
    @Test
    void instancesSpreadOverEngines() {
        Map<UpstreamId, Integer> placed = new HashMap<>();
        for (PlacementAction action : burst(4)) {
            if (action instanceof PlacementAction.Grant grant) {
                placed.merge(grant.grant().upstream(), 1, Integer::sum);
            }
        }
        int mostOnOne = placed.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertThat(placed.size(), greaterThan(ENGINES / 2));
        assertThat(mostOnOne, lessThanOrEqualTo(SchedulerReplay.SLOTS));
    }

    /**
     * Guards against overloading a cold engine that does not report itself as cold. In a burst,
     * each instance may start one request per second on it even if its share of the start limit is
     * lower.
     */
    @Test
    void engineGetsNoMoreStartsThanThereAreInstances() {
        Map<UpstreamId, Integer> started = new HashMap<>();
        for (PlacementAction action : burst(6)) {
            if (action instanceof PlacementAction.Grant grant) {
                started.merge(grant.grant().upstream(), 1, Integer::sum);
            }
        }
        int most = started.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertThat(most, lessThanOrEqualTo(INSTANCES));
    }

    /** Submits a number of requests at the same time to the scheduler of each instance. */
    private static List<PlacementAction> burst(int requestsPerInstance) {
        List<PlacementAction> actions = new ArrayList<>();
        for (int instance = 0; instance < INSTANCES; instance++) {
            InstanceId owner = new InstanceId("10.1.0." + (10 + instance));
            PlacementScheduler scheduler = standaloneScheduler(owner);
            for (int number = 1; number <= requestsPerInstance; number++) {
                PlacementKey key = new PlacementKey(owner, number);
                scheduler.submit(
                        PlacementRequest.builder(key, "request", SchedulerReplay.SERVICE)
                                .times(300 * MILLI, 2_000 * MILLI, 10_000 * MILLI)
                                .generation(5_000, 1_600, 200)
                                .build(),
                        0);
                actions.addAll(scheduler.decide(0));
            }
        }
        return actions;
    }

    private static PlacementScheduler standaloneScheduler(InstanceId owner) {
        PlacementScheduler scheduler =
                new PlacementScheduler(new PlacementLimits(0.2, 100, 10_000));
        RoutedService service =
                new RoutedService(
                        SchedulerReplay.SERVICE,
                        STARTS_PER_SECOND,
                        Optional.of(SchedulerReplay.COST));
        scheduler.setRouting(
                new RoutingTable(
                        1, List.of(), List.of(service), List.of(), new CallerLimits(1_000)),
                Set.of());
        for (int number = 0; number < ENGINES; number++) {
            scheduler.updateUpstream(
                    new UpstreamStatus(
                            new UpstreamId("engine-" + number),
                            1,
                            SchedulerReplay.SERVICE,
                            "10.2.0." + number,
                            new FailureDomain("a"),
                            SchedulerReplay.SLOTS,
                            UpstreamPhase.READY,
                            0,
                            1),
                    0);
        }
        scheduler.configureStandalone(INSTANCES, owner.hashCode());
        return scheduler;
    }
}
