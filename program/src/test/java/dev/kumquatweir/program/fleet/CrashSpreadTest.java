package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.program.fleet.QuarantineSimulation.Instance;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a request that crashes upstreams is refused whichever instance schedules. */
final class CrashSpreadTest {
    private static final String CONTENT = "5c1e07a2:17";
    private static final String OTHER = "91bd3f06:17";
    private static final int CONTROLS = 5;
    private static final int ENTRIES = 8;
    private static final int UPSTREAMS = 3;
    private static final long RETENTION_MILLIS =
            TimeUnit.NANOSECONDS.toMillis(QuarantineDirectory.CRASH_RETENTION_NANOS);

    /** Guards against a request that crashes three more upstreams after each loss of the leader. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void nextLeaderRefusesWhatCrashedUpstreams(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        crash(fleet.control(0), CONTENT, UPSTREAMS);
        fleet.run(150);
        for (int leader = 1; leader < CONTROLS; leader++) {
            fleet.control(leader - 1).restart();
            fleet.control(leader).startScheduling();
            assertThat(fleet.control(leader).refuses(CONTENT), is(true));
            assertThat(fleet.control(leader).refuses(OTHER), is(false));
            fleet.run(1_500);
        }
    }

    /** Guards against a count that starts again because the leader is lost in between. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void crashesUnderSeveralLeadersAddUp(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        crash(fleet.control(0), CONTENT, UPSTREAMS - 1);
        fleet.run(150);
        fleet.control(0).stop();
        fleet.control(1).startScheduling();
        assertThat(fleet.control(1).refuses(CONTENT), is(false));
        fleet.control(1).recordCrash(CONTENT, "upstream-last");
        assertThat(fleet.control(1).refuses(CONTENT), is(true));
    }

    /** Guards against losing the crashes with the memory of all control instances. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void restartedControlInstancesLearnFromEntryInstances(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        crash(fleet.control(0), CONTENT, UPSTREAMS);
        fleet.run(2_000);
        fleet.controls().forEach(Instance::restart);
        fleet.control(3).startScheduling();
        fleet.run(2_500);
        assertThat(fleet.control(3).refuses(CONTENT), is(true));
    }

    /** Guards against an entry instance that schedules alone and knows no crashes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void entryInstanceWithoutLeaderRefusesWhatCrashedUpstreams(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        crash(fleet.control(0), CONTENT, UPSTREAMS);
        fleet.run(150);
        fleet.entry(4).startScheduling();
        assertThat(fleet.entry(4).refuses(CONTENT), is(true));
    }

    /** Guards against a content that stays refused although an upstream has answered it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void answeredContentIsForgottenEverywhere(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        crash(fleet.control(0), CONTENT, UPSTREAMS);
        fleet.run(2_000);
        fleet.control(0).recordAnswer(CONTENT);
        fleet.run(2_500);
        fleet.control(0).stop();
        fleet.control(1).startScheduling();
        assertThat(fleet.control(1).refuses(CONTENT), is(false));
    }

    /** Guards against crashes that instances keep alive in turn. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void crashesAreForgottenAfterTheirRetention(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        crash(fleet.control(0), CONTENT, UPSTREAMS);
        fleet.run(2_000);
        fleet.control(0).stop();
        fleet.control(1).startScheduling();
        fleet.run(RETENTION_MILLIS);
        fleet.control(1).stop();
        fleet.control(2).startScheduling();
        assertThat(fleet.control(2).refuses(CONTENT), is(false));
    }

    /** Guards against messages that grow with each content that failed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void messagesAreBounded(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        IntStream.range(0, 2_000)
                .forEach(number -> crash(fleet.control(0), "hash:" + number, UPSTREAMS));
        fleet.run(3_000);
        assertThat(fleet.takeLongestMessage(), lessThanOrEqualTo(128 * 1_024));
    }

    private static void crash(Instance leader, String content, int upstreams) {
        IntStream.range(0, upstreams)
                .forEach(number -> leader.recordCrash(content, "upstream-" + number));
    }

    private static QuarantineSimulation startFleet(long seed) {
        QuarantineSimulation fleet = new QuarantineSimulation(CONTROLS, ENTRIES, seed);
        fleet.control(0).startScheduling();
        fleet.run(2_000);
        return fleet;
    }
}
