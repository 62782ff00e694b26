package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.policy.placement.PlacementLimits;
import dev.kumquatweir.policy.placement.SchedulerFeatures;
import dev.kumquatweir.program.fleet.QuarantineSimulation.Instance;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a quarantine outlives the scheduler that decided on it, and ends everywhere. */
final class QuarantineSpreadTest {
    private static final String FIRST = "5c1e07a2";
    private static final String SECOND = "91bd3f06+e4402b7d";
    private static final int CONTROLS = 5;
    private static final int ENTRIES = 8;
    private static final long RETENTION_MILLIS =
            TimeUnit.NANOSECONDS.toMillis(QuarantineDirectory.RETENTION_NANOS);

    /** Guards against entry instances that go on sending a part until their next poll. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void verdictOfTheLeaderReachesAllInstancesAtOnce(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        fleet.control(0).quarantine(FIRST);
        fleet.run(150);
        assertThat(quarantinedAt(fleet.all(), FIRST), everyItem(is(true)));
    }

    /** Guards against a new leader that lets the part crash upstreams again. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void nextLeaderHasTheVerdictsBeforeItDecides(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        fleet.control(0).quarantine(FIRST);
        fleet.run(150);
        fleet.control(0).stop();
        fleet.control(1).startScheduling();
        assertThat(fleet.control(1).scheduledQuarantine(), is(List.of(FIRST)));
    }

    /** Guards against losing the verdicts with the memory of all control instances. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void restartedControlInstancesLearnFromEntryInstances(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        fleet.control(0).quarantine(FIRST);
        fleet.control(0).quarantine(SECOND);
        fleet.run(2_000);
        fleet.controls().forEach(Instance::restart);
        fleet.control(3).startScheduling();
        fleet.run(2_500);
        assertThat(fleet.control(3).scheduledQuarantine(), is(List.of(FIRST, SECOND)));
        assertThat(quarantinedAt(fleet.all(), FIRST), everyItem(is(true)));
        assertThat(quarantinedAt(fleet.all(), SECOND), everyItem(is(true)));
    }

    /** Guards against an instance that joins after the verdict and doesn't know it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void instanceThatStartsLaterLearnsAtItsFirstPoll(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        fleet.control(0).quarantine(FIRST);
        fleet.run(30_000);
        Instance late = fleet.addEntry();
        fleet.control(4).restart();
        fleet.run(150);
        assertThat(late.isQuarantined(FIRST), is(true));
        assertThat(fleet.control(4).isQuarantined(FIRST), is(true));
    }

    /** Guards against losing what an entry instance found while it scheduled alone. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void verdictOfLoneEntryInstanceJoinsThatOfTheLeader(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        Instance alone = fleet.entry(2);
        fleet.cutOff(alone);
        alone.startScheduling();
        alone.quarantine(SECOND);
        fleet.control(0).quarantine(FIRST);
        fleet.run(5_000);
        assertThat(alone.isQuarantined(FIRST), is(false));
        fleet.join(alone);
        fleet.run(2_500);
        alone.stopScheduling();
        assertThat(alone.isQuarantined(FIRST), is(true));
        assertThat(fleet.control(0).scheduledQuarantine(), is(List.of(FIRST, SECOND)));
        assertThat(quarantinedAt(fleet.all(), SECOND), everyItem(is(true)));
    }

    /** Guards against schedulers that find one part independently and never agree. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void independentVerdictsOnOnePartSettle(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        for (int number = 0; number < ENTRIES; number++) {
            fleet.cutOff(fleet.entry(number));
            fleet.entry(number).startScheduling();
            fleet.entry(number).quarantine(FIRST);
            fleet.run(700);
        }
        for (int number = 0; number < ENTRIES; number++) {
            fleet.entry(number).stopScheduling();
            fleet.join(fleet.entry(number));
        }
        fleet.run(10_000);
        assertThat(quarantinedAt(fleet.all(), FIRST), everyItem(is(true)));
        fleet.takeSentVerdicts();
        fleet.run(10_000);
        assertThat(fleet.takeSentVerdicts(), is(0L));
    }

    /** Guards against a withdrawn verdict that instances revive for each other. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void withdrawalReachesAllInstancesAndHolds(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        fleet.control(0).quarantine(FIRST);
        fleet.control(0).quarantine(SECOND);
        fleet.run(5_000);
        fleet.cutOff(fleet.entry(1));
        fleet.cutOff(fleet.control(4));
        fleet.control(0).release(FIRST);
        fleet.run(150);
        assertThat(fleet.entry(0).isQuarantined(FIRST), is(false));
        assertThat(fleet.entry(1).isQuarantined(FIRST), is(true));
        fleet.control(0).stop();
        fleet.control(1).startScheduling();
        fleet.join(fleet.entry(1));
        fleet.join(fleet.control(4));
        fleet.run(5_000);
        assertThat(quarantinedAt(fleet.all(), FIRST), everyItem(is(false)));
        assertThat(quarantinedAt(fleet.all(), SECOND), everyItem(is(true)));
        assertThat(fleet.control(1).scheduledQuarantine(), is(List.of(SECOND)));
    }

    /** Guards against releasing a part with the group in which it was found first. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void groupThatIsNarrowedDownToOnePartStaysQuarantinedThere(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        Instance alone = fleet.entry(2);
        alone.startScheduling();
        fleet.control(0).quarantine(SECOND);
        fleet.run(2_000);
        assertThat(alone.scheduledQuarantine(), is(List.of(SECOND)));
        fleet.control(0).release(SECOND);
        fleet.control(0).quarantine("91bd3f06");
        fleet.run(2_000);
        assertThat(alone.scheduledQuarantine(), is(List.of("91bd3f06")));
        assertThat(quarantinedAt(fleet.all(), "91bd3f06"), everyItem(is(true)));
        assertThat(quarantinedAt(fleet.all(), SECOND), everyItem(is(false)));
    }

    /** Guards against an instance that was alone and withdraws what crashed upstreams since. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void loneEntryInstanceWithdrawsNothingFromTheOthers(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        fleet.control(0).quarantine(FIRST);
        fleet.run(5_000);
        Instance alone = fleet.entry(2);
        fleet.cutOff(alone);
        alone.startScheduling();
        fleet.run(5_000);
        alone.release(FIRST);
        fleet.run(5_000);
        alone.stopScheduling();
        fleet.join(alone);
        fleet.run(5_000);
        assertThat(quarantinedAt(fleet.all(), FIRST), everyItem(is(true)));
    }

    /** Guards against a part that crashes upstreams again and stays cleared elsewhere. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void partThatCrashesAgainIsQuarantinedAgainEverywhere(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        fleet.control(0).quarantine(FIRST);
        fleet.run(2_000);
        fleet.control(0).release(FIRST);
        fleet.run(2_000);
        fleet.control(0).stop();
        fleet.control(1).startScheduling();
        fleet.control(1).quarantine(FIRST);
        fleet.run(150);
        fleet.control(0).restart();
        fleet.run(2_500);
        assertThat(quarantinedAt(fleet.all(), FIRST), everyItem(is(true)));
    }

    /** Guards against messages that go on or ages that stand still once all know a verdict. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void knownVerdictIsNotSentAgainAndEnds(long seed) {
        QuarantineSimulation fleet = startFleet(seed);
        fleet.run(10_000);
        fleet.takeLongestMessage();
        fleet.run(10_000);
        int idleMessage = fleet.takeLongestMessage();
        fleet.control(0).quarantine(FIRST);
        fleet.run(5_000);
        fleet.takeSentVerdicts();
        fleet.takeLongestMessage();
        fleet.run(60_000);
        assertThat(fleet.takeSentVerdicts(), is(0L));
        assertThat(fleet.takeLongestMessage(), is(idleMessage));
        fleet.control(0).stopScheduling();
        fleet.skip(RETENTION_MILLIS - 60_000);
        fleet.run(5_000);
        assertThat(quarantinedAt(fleet.all(), FIRST), everyItem(is(false)));
        fleet.controls().forEach(Instance::restart);
        fleet.run(5_000);
        assertThat(quarantinedAt(fleet.all(), FIRST), everyItem(is(false)));
    }

    /** Guards against a verdict that each instance sends to each other one more than once. */
    @Test
    void verdictIsSentAtMostOnceBetweenTwoInstancesInEachDirection() {
        QuarantineSimulation fleet = startFleet(1);
        fleet.takeSentVerdicts();
        fleet.control(0).quarantine(FIRST);
        fleet.run(10_000);
        long pairs = CONTROLS * (CONTROLS - 1 + ENTRIES);
        assertThat(fleet.takeSentVerdicts(), lessThanOrEqualTo(2 * pairs));
    }

    /** Guards against a scheduler that starts to lead with none of the known verdicts. */
    @Test
    void schedulerThatStartsToLeadWithdrawsNothing() {
        LeaderScheduler scheduler =
                new LeaderScheduler(
                        new PlacementLimits(0.2, 10, 1_000),
                        SchedulerFeatures.NONE,
                        new MetricRegistry(),
                        new Clocks(() -> 0, () -> 0));
        QuarantineDirectory directory = new QuarantineDirectory();
        directory.merge(
                new InstanceId("peer"), List.of(new QuarantineVerdict(FIRST, 7, false, 0)), 0);
        scheduler.setLeading(true, new UpstreamDirectory(), directory, 0);
        assertThat(scheduler.reportVerdicts(directory, 0, 0), is(false));
        assertThat(directory.isQuarantined(FIRST, 0), is(true));
        List<QuarantineVerdict> learned =
                directory.merge(
                        new InstanceId("peer"),
                        List.of(new QuarantineVerdict(FIRST, 8, true, 0)),
                        0);
        assertThat(scheduler.applyVerdicts(learned, directory, 0), is(true));
        assertThat(scheduler.reportVerdicts(directory, 0, 0), is(false));
        assertThat(directory.isQuarantined(FIRST, 0), is(false));
    }

    private static QuarantineSimulation startFleet(long seed) {
        QuarantineSimulation fleet = new QuarantineSimulation(CONTROLS, ENTRIES, seed);
        fleet.control(0).startScheduling();
        fleet.run(2_000);
        return fleet;
    }

    private static List<Boolean> quarantinedAt(List<Instance> instances, String part) {
        return instances.stream().map(instance -> instance.isQuarantined(part)).toList();
    }
}
