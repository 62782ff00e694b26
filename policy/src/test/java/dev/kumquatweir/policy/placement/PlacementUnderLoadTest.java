package dev.kumquatweir.policy.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Replays load patterns that determine the rules for waiting, rejection and placement. */
final class PlacementUnderLoadTest {
    private static final int SHORT_EVENTS = 35;
    private static final long SHORT_TOKENS = 5_000;

    /**
     * Approximate time that a short request occupies a slot on an engine with ten other requests.
     */
    private static final double SHORT_SECONDS = SHORT_EVENTS * 0.0555;

    /** Guards against assigning slots to late requests while waiting requests become late. */
    @Test
    void sustainedOverloadServesShortRequestsThatCanMeetTheirTarget() {
        int engines = 7;
        double perSecond = engines * SchedulerReplay.SLOTS / SHORT_SECONDS;
        SchedulerReplay replay = new SchedulerReplay(engines);
        List<ReplayOutcome> outcomes = shortRequests(replay, 1.4 * perSecond, 9.5, 1);
        replay.run(14_000);
        double served = 9.5 * perSecond;
        assertThat((double) onTime(outcomes), greaterThan(0.75 * served));
    }

    /** Guards against requests that cannot be served waiting until their callers give up. */
    @Test
    void sustainedOverloadRejectsEarly() {
        SchedulerReplay replay = new SchedulerReplay(4);
        List<ReplayOutcome> outcomes = shortRequests(replay, 80, 9.5, 2);
        replay.run(14_000);
        List<Double> rejected =
                outcomes.stream()
                        .map(ReplayOutcome::rejectedMillis)
                        .filter(millis -> millis >= 0)
                        .sorted()
                        .toList();
        assertThat(rejected.size(), greaterThan(100));
        assertThat(rejected.get(rejected.size() / 2), lessThan(600.0));
    }

    /**
     * Guards against scheduling costs that grow with the number of waiting requests: the scheduling
     * instance falls behind, entry instances lose contact with it, and the overload outlasts its
     * cause.
     */
    @Test
    void sustainedOverloadKeepsEngineComparisonsWithinBudget() {
        int engines = 45;
        double seconds = 6;
        double perSecond = engines * SchedulerReplay.SLOTS / SHORT_SECONDS;
        SchedulerReplay replay = new SchedulerReplay(engines);
        List<ReplayOutcome> outcomes = shortRequests(replay, 1.3 * perSecond, seconds, 3);
        for (int number = 0; number < 60; number++) {
            outcomes.add(replay.arrive(100.0 * number, 250_000, 17, 3_000, 800));
        }
        replay.run(1_000 * seconds);
        int unsuccessfulPerSecond = 1_000 * 45 / engines;
        double allowed = outcomes.size() + (seconds + 1) * unsuccessfulPerSecond;
        assertThat((double) replay.comparisonCount(), lessThan(allowed));
    }

    /**
     * Guards against the prefill of a long prompt delaying the events of short requests on the same
     * engine.
     */
    @Test
    void longPromptsLeaveShortRequestsOnTime() {
        SchedulerReplay replay = new SchedulerReplay(14);
        List<ReplayOutcome> shorts = shortRequests(replay, 20, 10, 3);
        List<ReplayOutcome> longs = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            longs.add(replay.arrive(1_000 + 1_500 * number, 210_000, 17, 3_000, 800));
        }
        replay.run(16_000);
        assertThat(onTime(longs), is(6L));
        assertThat((double) onTime(shorts), greaterThanOrEqualTo(0.97 * shorts.size()));
    }

    /** Guards against leaving a prompt on one engine that cannot prefill it in time. */
    @Test
    void veryLongPromptIsSplitOverManyEngines() {
        SchedulerReplay replay = new SchedulerReplay(14);
        ReplayOutcome outcome = replay.arrive(100, 400_000, 17, 3_000, 800);
        replay.run(12_000);
        assertThat(outcome.engines(), greaterThan(3));
        assertThat(outcome.onTime(), is(true));
    }

    /**
     * Guards against a late start on two engines when all engines become free shortly afterwards.
     */
    @Test
    void simultaneousLongPromptsWaitForFreeEngines() {
        SchedulerReplay replay = new SchedulerReplay(12);
        List<ReplayOutcome> longs = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            longs.add(replay.arrive(100 + 20 * number, 300_000, 17, 3_000, 800));
        }
        replay.run(15_000);
        assertThat(onTime(longs), greaterThanOrEqualTo(3L));
    }

    /** Guards against one prompt of about a million tokens displacing a burst of short requests. */
    @Test
    void hugePromptDoesNotStallBurstOfShortRequests() {
        SchedulerReplay replay = new SchedulerReplay(7);
        double perSecond = 7 * SchedulerReplay.SLOTS / SHORT_SECONDS;
        List<ReplayOutcome> shorts = shortRequests(replay, 0.95 * perSecond, 9.5, 7);
        replay.arrive(3_000, 900_000, 17, 3_000, 800);
        replay.run(16_000);
        assertThat((double) onTime(shorts), greaterThan(0.8 * shorts.size()));
    }

    /**
     * Guards against the prefill of one huge prompt occupying all engines while short requests
     * arrive.
     */
    @Test
    void hugePromptLeavesEnginesToShortRequests() {
        SchedulerReplay replay = new SchedulerReplay(14);
        List<ReplayOutcome> shorts = shortRequests(replay, 20, 10, 8);
        ReplayOutcome huge = replay.arrive(2_000, 900_000, 17, 3_000, 800);
        replay.run(20_000);
        assertThat((double) onTime(shorts), greaterThan(0.85 * shorts.size()));
        assertThat(huge.firstEventMillis(), greaterThan(0.0));
    }

    /** Guards against spreading short requests so that no idle engine remains for long prompts. */
    @Test
    void shortRequestsArePackedOnFewEngines() {
        SchedulerReplay replay = new SchedulerReplay(14);
        shortRequests(replay, 20, 6, 9);
        replay.run(5_000);
        assertThat(replay.busyEngineCount(), lessThan(9));
    }

    /**
     * Guards against static lanes, which do not fit a load that shifts from short to long prompts
     * within ten seconds.
     */
    @Test
    void shiftFromShortToLongPromptsIsServedOnTime() {
        SchedulerReplay replay = new SchedulerReplay(14);
        List<ReplayOutcome> shorts = shortRequests(replay, 50, 9, 4);
        List<ReplayOutcome> longs = new ArrayList<>();
        Random random = new Random(5);
        for (double at = 9_000; at < 18_000; at += 700) {
            long tokens = (long) (210_000 * Math.exp(0.5 * random.nextGaussian() - 0.125));
            longs.add(replay.arrive(at, Math.min(400_000, tokens), 17, 3_000, 800));
        }
        replay.run(26_000);
        assertThat((double) onTime(shorts), greaterThan(0.9 * shorts.size()));
        assertThat((double) onTime(longs), greaterThan(0.8 * longs.size()));
    }

    /** Guards against relying on the published cost of an engine that is five times slower. */
    @Test
    void slowEngineIsDetectedFromItsAnswers() {
        SchedulerReplay replay = new SchedulerReplay(10);
        replay.addEngine(0, 5);
        List<ReplayOutcome> outcomes = shortRequests(replay, 25, 12, 6);
        replay.run(20_000);
        assertThat((double) onTime(outcomes), greaterThan(0.85 * outcomes.size()));
    }

    private static List<ReplayOutcome> shortRequests(
            SchedulerReplay replay, double perSecond, double seconds, long seed) {
        Random random = new Random(seed);
        List<ReplayOutcome> outcomes = new ArrayList<>();
        double at = 0;
        while (at < 1_000 * seconds) {
            at += -1_000 / perSecond * Math.log(1 - random.nextDouble());
            outcomes.add(replay.arrive(at, SHORT_TOKENS, SHORT_EVENTS, 300, 200));
        }
        return outcomes;
    }

    private static long onTime(List<ReplayOutcome> outcomes) {
        return outcomes.stream().filter(ReplayOutcome::onTime).count();
    }
}
