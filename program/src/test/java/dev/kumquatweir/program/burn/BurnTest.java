package dev.kumquatweir.program.burn;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.bytes.Bytes;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Counters, their sums and burn rates, and the file that keeps them. */
class BurnTest {
    private static final long MINUTE = BurnCounters.MINUTE_MILLIS;
    private static final long NOW = 30_000_000L * MINUTE;

    private static BurnCounters counters(int inTime, int failed, long atMillis) {
        BurnCounters counters = new BurnCounters();
        IntStream.range(0, inTime)
                .forEach(number -> counters.add("quick", BurnCount.IN_TIME, atMillis));
        IntStream.range(0, failed)
                .forEach(number -> counters.add("quick", BurnCount.FAILED, atMillis));
        return counters;
    }

    private static BurnCounts sum(BurnCounters counters, int window, long nowMillis) {
        return BurnSummary.of(counters, nowMillis).get("quick", BurnSummary.window(window));
    }

    /** Guards against a report that calls a service within its objective when it is outside. */
    @ParameterizedTest
    @CsvSource({"999, 1, 0.999, 1", "990, 10, 0.999, 10", "100, 0, 0.9, 0", "0, 0, 0.9, 0"})
    void burnRateComparesFailuresWithTheBudget(
            int inTime, int failed, double share, double expected) {
        BurnCounts counts = sum(counters(inTime, failed, NOW), 5, NOW);
        assertThat(counts.burnRate(share), closeTo(expected, 1e-6));
    }

    /** Guards against an objective of 100% that divides by nothing. */
    @Test
    void objectiveWithoutBudgetIsOutsideAfterOneFailure() {
        assertThat(sum(counters(9, 1, NOW), 5, NOW).burnRate(1), equalTo(Double.MAX_VALUE));
    }

    /** Guards against windows that count a minute too many or too few. */
    @ParameterizedTest
    @CsvSource({"4, 1, 1", "5, 0, 1", "59, 0, 1", "60, 0, 0"})
    void windowsEndNow(int minutesAgo, long inFiveMinutes, long inOneHour) {
        BurnCounters counters = counters(1, 0, NOW - minutesAgo * MINUTE);
        assertThat(sum(counters, 5, NOW).get(BurnCount.IN_TIME), is(inFiveMinutes));
        assertThat(sum(counters, 60, NOW).get(BurnCount.IN_TIME), is(inOneHour));
    }

    /** Guards against counts of three days ago that come back when their slot is used again. */
    @Test
    void slotIsEmptiedBeforeItIsUsedAgain() {
        BurnCounters counters = counters(7, 0, NOW);
        long later = NOW + BurnCounters.KEPT_MINUTES * MINUTE;
        counters.add("quick", BurnCount.IN_TIME, later);
        assertThat(sum(counters, BurnCounters.KEPT_MINUTES, later).get(BurnCount.IN_TIME), is(1L));
    }

    /** Guards against memory that grows with each name of a profile. */
    @Test
    void furtherProfilesAreCountedTogether() {
        BurnCounters counters = new BurnCounters();
        IntStream.range(0, 100)
                .forEach(number -> counters.add("profile-" + number, BurnCount.FAILED, NOW));
        BurnSummary summary = BurnSummary.of(counters, NOW);
        assertThat(summary.profiles().size(), is(65));
        assertThat(
                summary.get(BurnCounters.OTHER, BurnSummary.window(5)).get(BurnCount.FAILED),
                is(36L));
    }

    /** Guards against the counts of one instance standing for all. */
    @Test
    void summariesAddUpAfterTheyWereSent() {
        BurnSummary one = BurnSummary.of(counters(2, 1, NOW), NOW);
        BurnSummary sum = BurnSummary.decode(one.encode()).get().plus(one);
        assertThat(sum.get("quick", BurnSummary.window(5)).get(BurnCount.IN_TIME), is(4L));
        assertThat(BurnSummary.decode(Bytes.ofText("{\"a\":")).isLeft(), is(true));
    }

    /** Guards against a restart that forgets counts or requests that were running. */
    @Test
    void savedCountersReturnAndRunningRequestsAreLost(@TempDir Path folder) {
        BurnFile file = new BurnFile(folder.resolve("burn"));
        assertThat(file.save(counters(3, 0, NOW), Map.of("quick", 2L), NOW).isEmpty(), is(true));
        BurnCounters again = new BurnCounters();
        assertThat(file.load(again, NOW + MINUTE).get(), is(true));
        BurnCounts counts = sum(again, 5, NOW + MINUTE);
        assertThat(counts.get(BurnCount.IN_TIME), is(3L));
        assertThat(counts.get(BurnCount.LOST), is(2L));
    }

    /** Guards against a damaged file that stops the instance or is counted in part. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"minutes\":{\"quick\":{\"30000000\":[1,2",
                "{\"minutes\":{\"quick\":{\"30000000\":[1],\"x\":[2]}}}",
                "{\"minutes\":{\"quick\":{\"30000000\":[-1]}}}",
                ""
            })
    void damagedFileIsIgnoredWithTypedFailure(String content, @TempDir Path folder)
            throws IOException {
        Files.writeString(folder.resolve("counters.json"), content);
        BurnCounters counters = new BurnCounters();
        assertThat(
                new BurnFile(folder).load(counters, NOW).getLeft(),
                instanceOf(BurnFailure.Damaged.class));
        assertThat(BurnSummary.of(counters, NOW).profiles().isEmpty(), is(true));
    }
}
