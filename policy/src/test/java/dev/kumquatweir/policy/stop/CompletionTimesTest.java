package dev.kumquatweir.policy.stop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.Route;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class CompletionTimesTest {
    private static final long NOW = 1;
    private static final EngineCost COST =
            new EngineCost(11, 450_000, 0.925, 0.007, 0.00254, 256, 0.0917, 2_048, 46, 0.1);
    private static final CompletionTimes.Size SHORT =
            new CompletionTimes.Size(Optional.of(COST), 5_000, 46 * 35);
    private static final CompletionTimes.Size LONG =
            new CompletionTimes.Size(Optional.of(COST), 210_000, 46 * 17);
    private static final Route ROUTE =
            Route.builder("route", "host", "/").times(15_000, 300, 200).build();

    /** Guards against an estimate that is mostly too short, or mostly too long. */
    @Test
    void estimateIsTheMedianOfRecentAnswers() {
        CompletionTimes times = new CompletionTimes();
        Random random = new Random(25);
        double covered =
                IntStream.range(0, 2_000)
                        .peek(number -> times.record(ROUTE, SHORT, busyMillis(random), NOW))
                        .skip(100)
                        .filter(
                                number ->
                                        busyMillis(random)
                                                <= times.expectedMillis(ROUTE, SHORT, NOW))
                        .count();
        assertThat(covered / 1_900, closeTo(0.5, 0.05));
    }

    private static int busyMillis(Random random) {
        return 3_000 + random.nextInt(2_000);
    }

    /** Guards against an estimate that keeps to the time of a burst that has passed. */
    @Test
    void estimateFollowsTheLatestAnswers() {
        CompletionTimes times = new CompletionTimes();
        IntStream.range(0, 50).forEach(number -> times.record(ROUTE, SHORT, 6_000, NOW));
        IntStream.range(0, 50).forEach(number -> times.record(ROUTE, SHORT, 2_000, NOW));
        assertThat(times.expectedMillis(ROUTE, SHORT, NOW), closeTo(2_000, 1));
    }

    /** Guards against prompts of a route that are all taken for as long as the usual one. */
    @Test
    void longPromptsAreExpectedToTakeLonger() {
        CompletionTimes times = new CompletionTimes();
        IntStream.range(0, 50).forEach(number -> times.record(ROUTE, SHORT, 2_000, NOW));
        double ratio =
                times.expectedMillis(ROUTE, LONG, NOW) / times.expectedMillis(ROUTE, SHORT, NOW);
        assertThat(ratio, greaterThanOrEqualTo(2.0));
    }

    /** Guards against a rare route that is taken for as slow as in a burst that is long over. */
    @Test
    void oldAnswersDontCount() {
        CompletionTimes times = new CompletionTimes();
        double unknownMillis = times.expectedMillis(ROUTE, SHORT, NOW);
        IntStream.range(0, 50).forEach(number -> times.record(ROUTE, SHORT, 9_000, NOW));
        long laterNanos = NOW + TimeUnit.MINUTES.toNanos(1);
        assertThat(times.expectedMillis(ROUTE, SHORT, laterNanos), closeTo(unknownMillis, 1));
    }
}
