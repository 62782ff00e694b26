package dev.kumquatweir.policy.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.CacheEvents;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.registry.LoadReport;
import dev.kumquatweir.policy.registry.UpstreamRegistry;
import dev.kumquatweir.policy.registry.UpstreamRole;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RouterTest {
    private static final ServiceName SERVICE = new ServiceName("llm");
    private static final ModelName MODEL = new ModelName("general");
    private static final int ENGINES = 20;

    /**
     * Guards against all instances sending to the one engine that their common report shows as
     * idle.
     */
    @Test
    void instancesWithTheSameReportsChooseDifferentEngines() {
        for (int instances : List.of(4, 360)) {
            Map<UpstreamId, Integer> chosen = new HashMap<>();
            IntStream.range(0, instances)
                    .forEach(
                            seed -> {
                                Setup setup = new Setup(seed, new LengthStrategy.PriorityOnly());
                                setup.reportLoads(5);
                                chosen.merge(setup.place(query(List.of(), 1_000)), 1, Integer::sum);
                            });
            int most = chosen.values().stream().mapToInt(Integer::intValue).max().orElse(0);
            assertThat(
                    "most placements on one engine, instances: " + instances,
                    most,
                    lessThanOrEqualTo(2 + instances / 6));
        }
    }

    /**
     * Guards against the instance's own placements being ignored until the next report includes
     * them.
     */
    @Test
    void correctsReportsByOwnPlacements() {
        Setup setup = new Setup(1, new LengthStrategy.PriorityOnly());
        setup.reportLoads(0);
        Map<UpstreamId, Integer> chosen = new HashMap<>();
        for (int count = 0; count < 200; count++) {
            UpstreamId id = setup.place(query(List.of(), 1_000));
            UpstreamLoad load = Objects.requireNonNull(setup.mFleet.find(id));
            load.addReservation(
                    new AttemptReservation(
                            new AttemptId("t" + count), LengthClass.SHORT, 1_000, 1_100, 1));
            load.reservations().forEach(AttemptReservation::markPrefilled);
            chosen.merge(id, 1, Integer::sum);
        }
        int most = chosen.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertThat(most, lessThan(16));
    }

    /** Guards against a prompt being prefilled on one engine while another has it cached. */
    @Test
    void prefersTheEngineThatHasThePrefix() {
        Setup setup = new Setup(1, new LengthStrategy.PriorityOnly());
        List<Long> hashes = IntStream.range(0, 30).mapToObj(block -> (long) block).toList();
        List<CacheEvents.CacheEvent> stored =
                hashes.stream()
                        .map(hash -> new CacheEvents.CacheEvent(true, hash, (hash + 1) * 256))
                        .toList();
        setup.mPrefixes.apply(new CacheEvents(id(13), 1, 1, stored));
        assertThat(setup.place(query(hashes, 8_000)), is(id(13)));
    }

    /** Guards against unnecessary requests to another failure domain. */
    @Test
    void prefersItsOwnFailureDomainAtEqualLoad() {
        Setup setup = new Setup(1, new LengthStrategy.PriorityOnly());
        long own =
                IntStream.range(0, 200)
                        .filter(
                                count ->
                                        Integer.parseInt(
                                                                setup.place(query(List.of(), 10))
                                                                        .value()
                                                                        .substring(1))
                                                        % 2
                                                == 0)
                        .count();
        assertThat(own, greaterThan(100L));
    }

    /**
     * Guards against long prompts on engines reserved for short ones, where they delay the first
     * tokens of short prompts.
     */
    @Test
    void longPromptsAvoidEnginesOfTheShortLane() {
        for (LengthStrategy strategy :
                List.of(
                        new LengthStrategy.ReservedShare(0.3),
                        new LengthStrategy.LengthSeparation(0.3, 32_768, 0.25))) {
            Setup setup = new Setup(1, strategy);
            Pool pool = setup.mFleet.pool(SERVICE, MODEL, 1);
            Set<UpstreamId> shortLane = new HashSet<>();
            pool.all().stream()
                    .filter(member -> member.lane() == LengthStrategy.Lane.SHORT)
                    .forEach(member -> shortLane.add(member.load().state().announcement().id()));
            assertThat(shortLane.size(), is(6));
            for (int count = 0; count < 100; count++) {
                assertThat(shortLane.contains(setup.place(query(List.of(), 50_000))), is(false));
            }
        }
    }

    /** Guards against the instances' shares of a cold limit exceeding the limit in sum. */
    @Test
    void sharesOfColdLimitsAddUpToTheLimit() {
        for (int requests = 0; requests <= 9; requests++) {
            ColdLimit limit = new ColdLimit(requests, 10_000);
            int sum = 0;
            long tokens = 0;
            for (int instance = 0; instance < 4; instance++) {
                ColdLimit share = new LocalColdAllowance(4, instance).granted(id(3), 1, limit, 1);
                sum += share.requests();
                tokens += share.prefillTokens();
            }
            assertThat(sum, is(requests));
            assertThat(tokens, lessThanOrEqualTo(10_000L));
        }
    }

    /** Guards against a few instances filling the memory of each engine with queued prompts. */
    @Test
    void limitsTheBacklogOfMediumPrompts() {
        Setup setup = new Setup(1, new LengthStrategy.PriorityOnly());
        setup.reportLoads(0);
        int placed = 0;
        Placement next = setup.mRouter.place(query(List.of(), 32_768), 1);
        while (next != null && placed < 10 * ENGINES) {
            AttemptId id = new AttemptId("t" + placed++);
            next.upstream()
                    .addReservation(
                            new AttemptReservation(id, LengthClass.LONG, 32_768, 32_868, 1));
            next = setup.mRouter.place(query(List.of(), 32_768), 1);
        }
        // 32,768 tokens take 3.3 s at the initial rate, more than the 2 s that medium prompts may
        // queue.
        assertThat(placed, is(ENGINES));
    }

    private static UpstreamId id(int number) {
        return new UpstreamId("e" + number);
    }

    private static PlacementQuery query(List<Long> hashes, long prompt) {
        return new PlacementQuery(
                SERVICE,
                MODEL,
                LengthClass.of(prompt),
                prompt,
                100,
                50,
                hashes,
                false,
                Set.of(),
                Set.of());
    }

    private static final class Setup {
        private final Fleet mFleet;
        private final PrefixIndex mPrefixes = new PrefixIndex();
        private final Router mRouter;

        private Setup(long seed, LengthStrategy strategy) {
            RoutingOptions options =
                    RoutingOptions.of(new FailureDomain("d0"), seed).withStrategy(strategy);
            mFleet = new Fleet(new UpstreamRegistry(), strategy);
            for (int number = 0; number < ENGINES; number++) {
                mFleet.announced(announcement(number), 1);
            }
            mRouter = new Router(mFleet, mPrefixes, new LocalColdAllowance(1, 0), options);
        }

        private void reportLoads(int runningRequests) {
            for (int number = 0; number < ENGINES; number++) {
                int running = number == 7 ? 0 : runningRequests;
                mFleet.reported(new LoadReport(id(number), 1, 1, running, 0, 0, 0, false), 1);
            }
        }

        private UpstreamId place(PlacementQuery query) {
            return Objects.requireNonNull(mRouter.place(query, 1))
                    .upstream()
                    .state()
                    .announcement()
                    .id();
        }

        private static Announcement announcement(int number) {
            return new Announcement(
                    id(number),
                    1,
                    "127.0.0.1:9",
                    new FailureDomain("d" + number % 2),
                    UpstreamKind.ENGINE,
                    SERVICE,
                    Set.of(MODEL),
                    400_000,
                    UpstreamRole.MIXED,
                    true,
                    false,
                    new ColdLimit(2, 10_000),
                    48);
        }
    }
}
