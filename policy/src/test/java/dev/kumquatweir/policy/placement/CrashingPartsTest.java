package dev.kumquatweir.policy.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Replays requests of which some share a part of their prompt that crashes each engine that begins
 * to write an answer on it. No two requests are alike, and sound requests share the other parts.
 */
final class CrashingPartsTest {
    private static final int ENGINES = 14;
    private static final double PER_SECOND = 21;
    private static final double SECONDS = 30;
    private static final int CALLERS = 3;
    private static final int TOPICS = 12;
    private static final int TOOLS = 5;
    private static final long ALLOWED_SENDS = 3;

    /** Time from the fifth crash after which sound requests must be served as usual. */
    private static final double SETTLED_MILLIS = 6_000;

    private final SchedulerReplay mReplay = new SchedulerReplay(ENGINES);
    private final List<ReplayOutcome> mOutcomes = new ArrayList<>();

    /**
     * Guards against engines that crash on a part as long as requests with it arrive, with an empty
     * history as after a change of leader and with one of some seconds.
     */
    @ParameterizedTest
    @CsvSource({"0.05, 0", "0.2, 0", "0.5, 0", "0.05, 6", "0.2, 6", "0.5, 6"})
    void crashingPartIsTurnedAwayWithinFewCrashes(double share, double fromSeconds) {
        mReplay.faults().addCrashingPart("bad");
        load(0, "bad", 0, fromSeconds, 9);
        load(share, "bad", fromSeconds, SECONDS, 1);
        mReplay.run(1_000 * SECONDS + 5_000);
        assertFewCrashes("bad");
        assertSoundServed("bad", 0);
    }

    /** Guards against a second crashing part that hides behind the first. */
    @Test
    void twoCrashingPartsAtOnceAreBothTurnedAway() {
        mReplay.faults().addCrashingPart("bad");
        mReplay.faults().addCrashingPart("worse");
        load(0.1, "bad", 0, SECONDS, 2);
        load(0.2, "worse", 0, SECONDS, 3);
        mReplay.run(1_000 * SECONDS + 5_000);
        assertFewCrashes("bad");
        assertFewCrashes("worse");
        assertSoundServed("worse", 0);
    }

    /** Guards against forgetting a part while no request with it arrives. */
    @Test
    void crashingPartThatComesBackAfterPauseStaysTurnedAway() {
        mReplay.faults().addCrashingPart("bad");
        load(0.2, "bad", 0, 10, 4);
        load(0, "bad", 10, 70, 5);
        load(0.2, "bad", 70, 90, 6);
        mReplay.run(95_000);
        assertFewCrashes("bad");
        assertThat(mReplay.faults().sendsAfter("bad", 60_000), is(0L));
        assertSoundServed("bad", 0);
    }

    /** Guards against blaming parts for a failure domain that loses power. */
    @Test
    void enginesThatCrashTogetherQuarantineNothing() {
        load(0, "none", 0, SECONDS, 7);
        mReplay.crashTogether(8_000, 0.35);
        mReplay.crashTogether(14_000, 0.35);
        mReplay.run(1_000 * SECONDS + 5_000);
        assertNothingQuarantined();
    }

    /** Guards against blaming parts for answers that engines lose without crashing. */
    @Test
    void lostAnswersQuarantineNothing() {
        mReplay.faults().setLostShare(0.18);
        load(0, "none", 0, SECONDS, 8);
        mReplay.run(1_000 * SECONDS + 5_000);
        assertNothingQuarantined();
    }

    private void assertNothingQuarantined() {
        assertThat(mReplay.scheduler().quarantinedParts(mReplay.nowNanos()), is(List.of()));
        assertThat(mReplay.quarantinedCount(), is(0));
        long unserved = mOutcomes.stream().filter(outcome -> outcome.rejectedMillis() >= 0).count();
        assertThat((double) unserved, lessThanOrEqualTo(0.02 * mOutcomes.size()));
    }

    private void assertFewCrashes(String part) {
        assertThat(mReplay.faults().lateSends(part), lessThanOrEqualTo(ALLOWED_SENDS));
        assertThat(mReplay.faults().crashes(part).size(), lessThanOrEqualTo(10));
    }

    /** Checks the sound requests of the caller whose requests have the crashing part. */
    private void assertSoundServed(String part, int caller) {
        List<Double> crashes = mReplay.faults().crashes(part);
        double settled = crashes.get(Math.min(4, crashes.size() - 1)) + SETTLED_MILLIS;
        List<ReplayOutcome> sound =
                mOutcomes.stream()
                        .filter(outcome -> outcome.arrivedMillis() > settled)
                        .filter(outcome -> outcome.parts().get(0).equals("caller" + caller))
                        .filter(outcome -> outcome.parts().get(1).startsWith("topic"))
                        .toList();
        long begun = sound.stream().filter(ReplayOutcome::begunAtFirstAttempt).count();
        assertThat(sound.size(), greaterThan(30));
        assertThat((double) begun, greaterThan(0.95 * sound.size()));
    }

    /**
     * Adds requests, of which a share of the first caller's have the given part as their second.
     */
    private void load(double share, String part, double from, double until, long seed) {
        Random random = new Random(seed);
        double at = 1_000 * from;
        while (at < 1_000 * until) {
            at += -1_000 / PER_SECOND * Math.log(1 - random.nextDouble());
            boolean crashing = random.nextDouble() < share;
            String topic = crashing ? part : "topic" + random.nextInt(TOPICS);
            int caller = crashing ? 0 : random.nextInt(CALLERS);
            List<String> parts = List.of("caller" + caller, topic, "tool" + random.nextInt(TOOLS));
            mOutcomes.add(mReplay.arrive(at, 5_000, 35, 300, 200, parts));
        }
    }
}
