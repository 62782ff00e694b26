package dev.kumquatweir.policy.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Replays loads under which the memory of engines becomes short. */
final class EngineMemoryReplayTest {
    private static final SchedulerFeatures FORECAST =
            SchedulerFeatures.builder().memoryConfidence(0.99).build();

    private static final int ENGINES = 12;
    private static final int SEEDS = 50;
    private static final double SECONDS = 14;
    private static final MemoryReplay.Kind SHORT =
            new MemoryReplay.Kind("short", 4_960, 1_610, 253);
    private static final MemoryReplay.Kind MIDDLE =
            new MemoryReplay.Kind("middle", 45_000, 1_610, 1_505);
    private static final MemoryReplay.Kind LONG =
            new MemoryReplay.Kind("long", 190_000, 780, 6_009);

    /**
     * Guards against crashes of engines by placements: answers of 1 to 10 times the expected
     * length, callers that read for 10 s longer, a burst of the longest prompts and a change of
     * leader.
     */
    @Test
    void noEngineCrashesUnderPressure() {
        int crashes = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            crashes += pressure(FORECAST, seed).crashCount();
        }
        assertThat(crashes, is(0));
    }

    /** Guards against a replay that no longer exerts pressure. */
    @Test
    void enginesCrashUnderPressureWithoutForecast() {
        int crashes = 0;
        for (long seed = 0; seed < 5; seed++) {
            crashes += pressure(SchedulerFeatures.NONE, seed).crashCount();
        }
        assertThat(crashes, greaterThan(0));
    }

    /** Guards against preventing crashes by leaving requests unanswered. */
    @Test
    void moreRequestsAreAnsweredUnderPressureThanWithoutForecast() {
        long with = 0;
        long without = 0;
        for (long seed = 0; seed < 5; seed++) {
            with += pressure(FORECAST, seed).finishedCount();
            without += pressure(SchedulerFeatures.NONE, seed).finishedCount();
        }
        assertThat(with, greaterThan(without));
    }

    /** Guards against holding back work for which there is memory. */
    @Test
    void calmLoadIsServedAsWellAsWithoutForecast() {
        long with = 0;
        long without = 0;
        for (long seed = 0; seed < 5; seed++) {
            with += calm(FORECAST, seed);
            without += calm(SchedulerFeatures.NONE, seed);
        }
        assertThat(with, greaterThanOrEqualTo(without));
    }

    private static MemoryReplay pressure(SchedulerFeatures features, long seed) {
        MemoryReplay replay = new MemoryReplay(features, ENGINES);
        Random random = new Random(seed);
        arrivals(replay, SHORT, 10.5, random, true);
        arrivals(replay, MIDDLE, 1.24, random, true);
        arrivals(replay, LONG, 0.34, random, true);
        double burstMillis = 3_000 + 4_000 * random.nextDouble();
        for (int number = 0; number < 8; number++) {
            arrive(replay, burstMillis + 10 * number, LONG, random, true);
        }
        replay.changeLeader(burstMillis + 2_000 * random.nextDouble());
        replay.run(1_000 * SECONDS + 40_000);
        return replay;
    }

    private static long calm(SchedulerFeatures features, long seed) {
        MemoryReplay replay = new MemoryReplay(features, ENGINES);
        Random random = new Random(seed);
        List<MemoryReplay.Work> works = new ArrayList<>();
        works.addAll(arrivals(replay, SHORT, 10.5, random, false));
        works.addAll(arrivals(replay, MIDDLE, 1.24, random, false));
        works.addAll(arrivals(replay, LONG, 0.34, random, false));
        replay.run(1_000 * SECONDS + 20_000);
        return works.stream().filter(MemoryReplay.Work::onTime).count();
    }

    private static List<MemoryReplay.Work> arrivals(
            MemoryReplay replay,
            MemoryReplay.Kind kind,
            double perSecond,
            Random random,
            boolean pressure) {
        List<MemoryReplay.Work> works = new ArrayList<>();
        double atMillis = 0;
        while (atMillis < 1_000 * SECONDS) {
            atMillis += -1_000 / perSecond * Math.log(1 - random.nextDouble());
            works.add(arrive(replay, atMillis, kind, random, pressure));
        }
        return works;
    }

    private static MemoryReplay.Work arrive(
            MemoryReplay replay,
            double atMillis,
            MemoryReplay.Kind kind,
            Random random,
            boolean pressure) {
        double ratio =
                pressure
                        ? Math.pow(10, random.nextDouble())
                        : Math.exp(0.3 * random.nextGaussian());
        boolean slow = pressure && random.nextDouble() < 0.1;
        long outputTokens = (long) (ratio * kind.expectedTokens());
        return replay.arrive(atMillis, kind, outputTokens, slow ? 10_000 : 0);
    }
}
