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
    private static final long MINUTE_MILLIS = BurnCounters.MINUTE_MILLIS;
    private static final long NOW_MILLIS = 30_000_000L * MINUTE_MILLIS;

    private static BurnCounters counters(int inTime, int failed, long atMillis) {
        BurnCounters counters = new BurnCounters();
        IntStream.range(0, inTime)
                .forEach(number -> counters.add("quick", BurnCount.IN_TIME, atMillis));
        IntStream.range(0, failed)
                .forEach(number -> counters.add("quick", BurnCount.FAILED, atMillis));
        return counters;
    }

    private static BurnCounts sum(BurnCounters counters, int window, long nowMillis) {
        return BurnSummary.of(counters, nowMillis).get("quick", BurnSummary.windowKey(window));
    }

    /** Guards against a report that calls a service within its objective when it is outside. */
    @ParameterizedTest
    @CsvSource({"999, 1, 0.999, 1", "990, 10, 0.999, 10", "100, 0, 0.9, 0", "0, 0, 0.9, 0"})
    void burnRateIsFailedShareDividedByErrorBudget(
            int inTime, int failed, double share, double expected) {
        BurnCounts counts = sum(counters(inTime, failed, NOW_MILLIS), 5, NOW_MILLIS);
        assertThat(counts.burnRate(share), closeTo(expected, 1e-6));
    }

    /** Guards against an objective of 100% that divides by nothing. */
    @Test
    void oneFailureWithoutErrorBudgetGivesMaximumBurnRate() {
        assertThat(
                sum(counters(9, 1, NOW_MILLIS), 5, NOW_MILLIS).burnRate(1),
                equalTo(Double.MAX_VALUE));
    }

    /** Guards against windows that count a minute too many or too few. */
    @ParameterizedTest
    @CsvSource({"4, 1, 1", "5, 0, 1", "59, 0, 1", "60, 0, 0"})
    void windowsIncludeExactlyTheirMinutes(int minutesAgo, long inFiveMinutes, long inOneHour) {
        BurnCounters counters = counters(1, 0, NOW_MILLIS - minutesAgo * MINUTE_MILLIS);
        assertThat(sum(counters, 5, NOW_MILLIS).get(BurnCount.IN_TIME), is(inFiveMinutes));
        assertThat(sum(counters, 60, NOW_MILLIS).get(BurnCount.IN_TIME), is(inOneHour));
    }

    /** Guards against counts of three days ago that come back when their slot is used again. */
    @Test
    void expiredMinuteIsClearedWhenItsSlotIsReused() {
        BurnCounters counters = counters(7, 0, NOW_MILLIS);
        long later = NOW_MILLIS + BurnCounters.RETENTION_MINUTES * MINUTE_MILLIS;
        counters.add("quick", BurnCount.IN_TIME, later);
        assertThat(
                sum(counters, BurnCounters.RETENTION_MINUTES, later).get(BurnCount.IN_TIME),
                is(1L));
    }

    /** Guards against memory that grows with each name of a profile. */
    @Test
    void profilesBeyondTheLimitShareCounters() {
        BurnCounters counters = new BurnCounters();
        IntStream.range(0, 100)
                .forEach(number -> counters.add("profile-" + number, BurnCount.FAILED, NOW_MILLIS));
        BurnSummary summary = BurnSummary.of(counters, NOW_MILLIS);
        assertThat(summary.profiles().size(), is(65));
        assertThat(
                summary.get(BurnCounters.OTHER_PROFILES, BurnSummary.windowKey(5))
                        .get(BurnCount.FAILED),
                is(36L));
    }

    /** Guards against the counts of one instance standing for all. */
    @Test
    void decodedSummaryAddsToAnother() {
        BurnSummary summary = BurnSummary.of(counters(2, 1, NOW_MILLIS), NOW_MILLIS);
        BurnSummary sum = BurnSummary.decode(summary.encode()).get().plus(summary);
        assertThat(sum.get("quick", BurnSummary.windowKey(5)).get(BurnCount.IN_TIME), is(4L));
        assertThat(BurnSummary.decode(Bytes.ofText("{\"a\":")).isLeft(), is(true));
    }

    /** Guards against a restart that forgets counts or requests that were running. */
    @Test
    void loadRestoresCountersAndCountsRunningRequestsAsLost(@TempDir Path folder) {
        BurnFile file = new BurnFile(folder.resolve("burn"));
        assertThat(
                file.save(counters(3, 0, NOW_MILLIS), Map.of("quick", 2L), NOW_MILLIS).isEmpty(),
                is(true));
        BurnCounters restored = new BurnCounters();
        assertThat(file.load(restored, NOW_MILLIS + MINUTE_MILLIS).get(), is(true));
        BurnCounts counts = sum(restored, 5, NOW_MILLIS + MINUTE_MILLIS);
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
    void damagedFileGivesFailureAndAddsNoCounts(String content, @TempDir Path folder)
            throws IOException {
        Files.writeString(folder.resolve("counters.json"), content);
        BurnCounters counters = new BurnCounters();
        assertThat(
                new BurnFile(folder).load(counters, NOW_MILLIS).getLeft(),
                instanceOf(BurnFailure.Damaged.class));
        assertThat(BurnSummary.of(counters, NOW_MILLIS).profiles().isEmpty(), is(true));
    }
}
