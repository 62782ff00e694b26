package dev.kumquatweir.policy.stop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.Route;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class CompletionTimesTest {
    private static final EngineCost COST =
            new EngineCost(11, 450_000, 0.925, 0.007, 0.00254, 256, 0.0917, 2_048, 46, 0.1);
    private static final CompletionTimes.Size SHORT =
            new CompletionTimes.Size(Optional.of(COST), 5_000, 46 * 35);
    private static final CompletionTimes.Size LONG =
            new CompletionTimes.Size(Optional.of(COST), 210_000, 46 * 17);
    private static final Route ROUTE =
            Route.builder("route", "host", "/").times(15_000, 300, 200).build();

    /** Guards against a stop that takes requests for faster than busy engines answer them. */
    @Test
    void estimateCoversNineOfTenAnswers() {
        CompletionTimes times = new CompletionTimes();
        Random random = new Random(25);
        double covered =
                IntStream.range(0, 2_000)
                        .peek(number -> times.record(ROUTE, SHORT, busyMillis(random)))
                        .skip(100)
                        .filter(number -> busyMillis(random) <= times.expectedMillis(ROUTE, SHORT))
                        .count();
        assertThat(covered / 1_900, greaterThanOrEqualTo(0.9));
        assertThat(times.expectedMillis(ROUTE, SHORT), lessThan(5_000.0));
    }

    private static int busyMillis(Random random) {
        return 3_000 + random.nextInt(2_000);
    }

    /** Guards against an estimate that keeps to the time of a burst that has passed. */
    @Test
    void estimateFollowsTheLatestAnswers() {
        CompletionTimes times = new CompletionTimes();
        IntStream.range(0, 50).forEach(number -> times.record(ROUTE, SHORT, 6_000));
        IntStream.range(0, 50).forEach(number -> times.record(ROUTE, SHORT, 2_000));
        assertThat(times.expectedMillis(ROUTE, SHORT), closeTo(2_000, 1));
    }

    /** Guards against prompts of a route that are all taken for as long as the usual one. */
    @Test
    void longPromptsAreExpectedToTakeLonger() {
        CompletionTimes times = new CompletionTimes();
        IntStream.range(0, 50).forEach(number -> times.record(ROUTE, SHORT, 2_000));
        double ratio = times.expectedMillis(ROUTE, LONG) / times.expectedMillis(ROUTE, SHORT);
        assertThat(ratio, greaterThanOrEqualTo(2.0));
    }
}
