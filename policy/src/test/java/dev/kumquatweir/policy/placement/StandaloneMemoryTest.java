package dev.kumquatweir.policy.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.CallerLimits;
import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the use of memory by instances that place requests without coordination. */
final class StandaloneMemoryTest {
    private static final int INSTANCES = 30;
    private static final int ENGINES = 60;
    private static final EngineCost COST = MemoryReplay.COST;
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final SchedulerFeatures mForecast =
            SchedulerFeatures.builder().memoryConfidence(0.99).build();
    private int mGrants;

    /** Guards against instances that together place more on an engine than it has memory for. */
    @Test
    void instancesTogetherStayWithinMemory() {
        assertThat(overfilledEngines(mForecast), is(0L));
        assertThat(mGrants, greaterThan(6 * INSTANCES));
    }

    /** Guards against a load that would fit without shares, which would prove nothing. */
    @Test
    void sameLoadOverfillsEnginesWithoutShares() {
        assertThat(overfilledEngines(SchedulerFeatures.NONE), greaterThan(0L));
    }

    /** Guards against a single instance using only half of the memory. */
    @Test
    void singleInstanceUsesAllMemory() {
        PlacementScheduler scheduler = scheduler(mForecast, 1, 1);
        submit(scheduler, new InstanceId("entry"), 1, 190_000);
        assertThat(scheduler.decide(0).getFirst() instanceof PlacementAction.Grant, is(true));
    }

    /** Guards against a new leader that fills engines before it knows what they hold. */
    @Test
    void newLeaderWaitsForReportsBeforeItPlacesLongPrompts() {
        PlacementScheduler scheduler = scheduler(mForecast, 0, 1);
        scheduler.beginTakeover(0);
        submit(scheduler, new InstanceId("entry"), 1, 190_000);
        submit(scheduler, new InstanceId("entry"), 2, 5_000);
        assertThat(scheduler.decide(0).size(), is(1));
        assertThat(scheduler.decide(700 * MILLI).size(), is(0));
        assertThat(scheduler.decide(760 * MILLI).size(), is(1));
    }

    /** Guards against filling memory on helpers that a former leader has given to a request. */
    @Test
    void registeredHelpersHoldMemory() {
        PlacementScheduler scheduler = scheduler(mForecast, 0, 2);
        PlacementKey key = new PlacementKey(new InstanceId("entry"), 1);
        PlacementRequest running = request(key, 100_000);
        scheduler.registerRunning(running, new UpstreamId("engine-0"), false, 0, 0);
        UpstreamId helper = new UpstreamId("engine-1");
        scheduler.registerHelpers(key, List.of(new PlacementHelper(helper, "", 150_000)), 0);
        assertThat(scheduler.memoryUse().highestPercent(), greaterThan(85));
        scheduler.ended(key, PlacementOutcome.ANSWERED, "", 0);
        assertThat(scheduler.memoryUse().highestPercent(), lessThan(1));
    }

    /** Guards against using memory again that an engine still holds for a cancelled request. */
    @Test
    void cancelledRequestHoldsMemoryUntilTheEngineNotices() {
        PlacementScheduler scheduler = scheduler(mForecast, 0, 1);
        submit(scheduler, new InstanceId("entry"), 1, 190_000);
        assertThat(scheduler.decide(0).size(), is(1));
        scheduler.ended(
                new PlacementKey(new InstanceId("entry"), 1),
                PlacementOutcome.CANCELLED,
                "",
                100 * MILLI);
        submit(scheduler, new InstanceId("entry"), 2, 190_000);
        assertThat(scheduler.decide(200 * MILLI).size(), is(0));
        assertThat(scheduler.decide(400 * MILLI).size(), is(1));
    }

    private long overfilledEngines(SchedulerFeatures features) {
        Map<UpstreamId, Long> placed = new HashMap<>();
        for (int instance = 0; instance < INSTANCES; instance++) {
            InstanceId owner = new InstanceId("10.1.0." + (10 + instance));
            PlacementScheduler scheduler = scheduler(features, INSTANCES, ENGINES);
            scheduler.configureStandalone(INSTANCES, owner.hashCode());
            for (int number = 1; number <= 12; number++) {
                long promptTokens = number == 1 ? 190_000 : number <= 4 ? 45_000 : 5_000;
                submit(scheduler, owner, number, promptTokens);
                for (PlacementAction action : scheduler.decide(0)) {
                    if (action instanceof PlacementAction.Grant grant) {
                        mGrants++;
                        count(grant.grant(), promptTokens, placed);
                    }
                }
            }
        }
        return placed.values().stream().filter(tokens -> tokens > COST.kvCacheTokens()).count();
    }

    private static void count(
            PlacementGrant grant, long promptTokens, Map<UpstreamId, Long> placed) {
        long tokens = promptTokens + 1_600;
        for (PlacementHelper helper : grant.helpers()) {
            tokens -= helper.reservedTokens();
            long part = promptTokens / (1 + grant.helpers().size());
            placed.merge(helper.upstream(), part + helper.reservedTokens(), Long::sum);
        }
        placed.merge(grant.upstream(), tokens, Long::sum);
    }

    private static void submit(
            PlacementScheduler scheduler, InstanceId owner, int number, long promptTokens) {
        scheduler.submit(request(new PlacementKey(owner, number), promptTokens), 0);
    }

    private static PlacementRequest request(PlacementKey key, long promptTokens) {
        return PlacementRequest.builder(key, "request", SchedulerReplay.SERVICE)
                .times(6_000 * MILLI, 9_000 * MILLI, 20_000 * MILLI)
                .generation(promptTokens, 1_600, 1_000)
                .build();
    }

    private static PlacementScheduler scheduler(
            SchedulerFeatures features, int instances, int engines) {
        PlacementScheduler scheduler =
                new PlacementScheduler(new PlacementLimits(0.2, 100, 10_000), features);
        RoutedService service = new RoutedService(SchedulerReplay.SERVICE, 0, Optional.of(COST));
        scheduler.setRouting(
                new RoutingTable(
                        1, List.of(), List.of(service), List.of(), new CallerLimits(1_000)),
                Set.of());
        for (int number = 0; number < engines; number++) {
            scheduler.updateUpstream(
                    new UpstreamStatus(
                            new UpstreamId("engine-" + number),
                            1,
                            SchedulerReplay.SERVICE,
                            "10.2.0." + number,
                            new FailureDomain("a"),
                            COST.maximumConcurrentRequests(),
                            UpstreamPhase.READY,
                            0,
                            1),
                    0);
        }
        if (instances > 0) {
            scheduler.configureStandalone(instances, 1);
        }
        return scheduler;
    }
}
