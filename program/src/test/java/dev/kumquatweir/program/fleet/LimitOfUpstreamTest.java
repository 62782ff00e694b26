package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that all instances together keep to the limit that an upstream names, counted from outside
 * as its users do.
 */
final class LimitOfUpstreamTest {
    private static final long WINDOW_MILLIS = 4_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final double[] LIMITS = {1.2, 0.3, 6};
    private static final int UPSTREAMS = 5;
    private static final double REQUESTS_PER_SECOND = 40;

    /** Guards against instances that together send more than an upstream takes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void limitHoldsUnderOneLeader(long seed) {
        LimitSimulation simulation = new LimitSimulation(4, UPSTREAMS, REQUESTS_PER_SECOND, seed);
        simulation.startLeader();
        simulation.run(3_000);
        nameLimits(simulation);
        simulation.run(30_000);
        assertWithinLimits(simulation);
    }

    /** Guards against a leader that begins with a window of its own. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void limitHoldsOverLeadersInSeries(long seed) {
        LimitSimulation simulation = new LimitSimulation(4, UPSTREAMS, REQUESTS_PER_SECOND, seed);
        simulation.startLeader();
        simulation.run(2_000);
        nameLimits(simulation);
        simulation.run(3_000);
        for (int number = 0; number < 8; number++) {
            simulation.loseLeader();
            simulation.run(100 + 350L * number);
            simulation.startLeader();
            simulation.run(2_000);
        }
        assertWithinLimits(simulation);
    }

    /** Guards against instances that each use the whole limit while there is no leader. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 26})
    void limitHoldsWithoutLeader(int entries) {
        LimitSimulation simulation =
                new LimitSimulation(entries, UPSTREAMS, REQUESTS_PER_SECOND, entries);
        simulation.startLeader();
        simulation.run(2_000);
        nameLimits(simulation);
        simulation.run(4_000);
        simulation.loseLeader();
        simulation.run(40_000);
        assertWithinLimits(simulation);
    }

    /** Guards against an upstream that gets nothing although it takes some requests. */
    @Test
    void limitedUpstreamIsUsedUpToItsLimit() {
        LimitSimulation simulation = new LimitSimulation(4, 2, REQUESTS_PER_SECOND, 7);
        simulation.startLeader();
        simulation.run(3_000);
        IntStream.range(0, 2).forEach(number -> simulation.upstream(number).name(2));
        simulation.run(30_000);
        assertThat(simulation.upstream(0).arrivals(10_000, 30_000), greaterThan(30L));
    }

    /** Guards against an upstream that stays limited after it has stopped to say so. */
    @Test
    void limitEndsWithTheAnswersThatNameIt() {
        LimitSimulation simulation = new LimitSimulation(4, 3, REQUESTS_PER_SECOND, 8);
        simulation.startLeader();
        simulation.run(3_000);
        simulation.upstream(0).name(1.2);
        simulation.run(10_000);
        simulation.upstream(0).name(0);
        simulation.run(20_000);
        assertThat(simulation.upstream(0).arrivals(10_000, 13_000), lessThanOrEqualTo(5L));
        assertThat(simulation.upstream(0).arrivals(20_000, 30_000), greaterThan(60L));
    }

    /** Guards against requests that wait in vain where all upstreams have named a limit. */
    @Test
    void whatNoLimitLeavesRoomForIsRejectedAtOnce() {
        LimitSimulation simulation = new LimitSimulation(4, 2, REQUESTS_PER_SECOND, 9);
        simulation.startLeader();
        simulation.run(3_000);
        IntStream.range(0, 2).forEach(number -> simulation.upstream(number).name(2));
        simulation.run(20_000);
        var limited =
                simulation.rejections().stream()
                        .filter(rejection -> rejection.timeNanos() > 6_000 * LimitSimulation.MILLI)
                        .toList();
        assertThat(limited.size(), greaterThan(300));
        long longestWait =
                limited.stream()
                        .mapToLong(rejection -> rejection.waitedNanos() / LimitSimulation.MILLI)
                        .max()
                        .orElse(0);
        assertThat("longest wait of a rejected request", longestWait, lessThan(150L));
        assertThat(
                limited.stream()
                        .map(rejection -> rejection.action().reason().name())
                        .collect(Collectors.toSet()),
                is(Set.of("LIMITED")));
        assertThat(
                limited.stream()
                        .filter(rejection -> rejection.action().retryAfterMillis() < 250)
                        .count(),
                is(0L));
    }

    private static void nameLimits(LimitSimulation simulation) {
        IntStream.range(0, LIMITS.length)
                .forEach(number -> simulation.upstream(number).name(LIMITS[number]));
    }

    private static void assertWithinLimits(LimitSimulation simulation) {
        for (int number = 0; number < LIMITS.length; number++) {
            double allowed = 1.5 * LIMITS[number] * WINDOW_MILLIS / 1_000 + 5;
            double most = simulation.upstream(number).mostInWindow(WINDOW_MILLIS, CONTACT_MILLIS);
            assertThat("limit " + LIMITS[number], most, lessThanOrEqualTo(allowed));
        }
    }
}
