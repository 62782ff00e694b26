package dev.kumquatweir.policy.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays many instances that schedule alone on the same 45 engines. */
final class StandaloneBalanceTest {
    private static final SchedulerFeatures BALANCED =
            SchedulerFeatures.builder().domainBalance(true).build();
    private static final int ENGINES = 45;
    private static final int SECONDS = 16;
    private static final int SEEDS = 3;
    private static final long SHORT_TOKENS = 5_000;
    private static final long MIDDLE_TOKENS = 45_000;
    private static final long LONG_TOKENS = 300_000;

    /**
     * Guards against long prompts of one instance delaying the answers of others, and against a
     * thundering herd on the same engines. All instances alone, or those of one domain with their
     * third or half of the load.
     */
    @ParameterizedTest
    @CsvSource({"60, 1.0", "21, 0.35", "21, 0.5"})
    void instancesAloneServeAlmostAsMuchAsOnePool(int instances, double load) {
        checkAgainstOnePool(instances, load);
    }

    /** Guards against the same where the instances of one domain get the whole load. */
    @Test
    void instancesOfOneDomainServeTheWholeLoad() {
        checkAgainstOnePool(21, 1);
    }

    private static void checkAgainstOnePool(int instances, double load) {
        List<ReplayOutcome> pool = new ArrayList<>();
        List<List<ReplayOutcome>> alone = new ArrayList<>();
        for (int domain = 0; domain < UnevenLoad.DOMAINS; domain++) {
            alone.add(new ArrayList<>());
        }
        for (int seed = 1; seed <= SEEDS; seed++) {
            ReplayCluster led = ReplayCluster.led(1, 0, SchedulerFeatures.NONE);
            replay(led, 1, load, seed).forEach(pool::addAll);
            ReplayCluster cluster =
                    ReplayCluster.standalone(UnevenLoad.DOMAINS, 3.9, instances, BALANCED);
            List<List<ReplayOutcome>> outcomes = replay(cluster, instances, load, seed);
            for (int domain = 0; domain < UnevenLoad.DOMAINS; domain++) {
                alone.get(domain).addAll(outcomes.get(domain));
            }
            assertThat(cluster.crossedShare(), lessThan(0.1));
        }
        List<ReplayOutcome> all = alone.stream().flatMap(List::stream).toList();
        double share = onTime(all, outcome -> true);
        assertThat(share, greaterThanOrEqualTo(0.95 * onTime(pool, outcome -> true)));
        for (List<ReplayOutcome> own : alone) {
            assertThat(onTime(own, outcome -> true), greaterThanOrEqualTo(share - 0.03));
        }
        assertThat(
                onTime(all, outcome -> outcome.promptTokens() == MIDDLE_TOKENS),
                greaterThanOrEqualTo(0.85));
        assertThat(
                onTime(all, outcome -> outcome.promptTokens() == LONG_TOKENS),
                greaterThanOrEqualTo(0.45));
    }

    private static List<List<ReplayOutcome>> replay(
            ReplayCluster cluster, int instances, double load, long seed) {
        SchedulerReplay replay = new SchedulerReplay(ENGINES, cluster);
        List.of(SHORT_TOKENS, MIDDLE_TOKENS, LONG_TOKENS).forEach(cluster::recordEarlierPrompt);
        UnevenLoad.Demand demand = UnevenLoad.waves(0.55, 0.1, 0.18, 0.26);
        List<List<ReplayOutcome>> outcomes =
                new UnevenLoad(demand, load, SECONDS, seed).arrive(replay, ENGINES, instances);
        replay.run(1_000 * SECONDS + 8_000);
        return outcomes;
    }

    private static double onTime(List<ReplayOutcome> outcomes, Predicate<ReplayOutcome> of) {
        List<ReplayOutcome> matching = outcomes.stream().filter(of).toList();
        double onTime = matching.stream().filter(ReplayOutcome::onTime).count();
        return onTime / matching.size();
    }
}
