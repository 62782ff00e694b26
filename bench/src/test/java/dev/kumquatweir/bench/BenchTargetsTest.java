package dev.kumquatweir.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The targets of the design page, on schedules with fixed seeds in virtual time. */
class BenchTargetsTest {
    private static final long SEED = 1;
    private static final List<Long> SEEDS = List.of(SEED, 2L, 3L);
    private static final int SECONDS = 120;
    private static final int OVERLOAD_SECONDS = 30;
    private static final List<Deployment> USERS =
            List.of(Deployment.kainBaru(), Deployment.tendal());
    private static final Map<String, Report> REPORTS = new HashMap<>();

    /** Guards against short prompts waiting for their first token behind other work. */
    @Test
    void firstTokenWithinBound() {
        for (Deployment user : USERS) {
            assertThat(
                    user.name(),
                    steady(user).firstTokenMillis(Report::fitsBound, 0.95),
                    lessThanOrEqualTo(860.0));
        }
    }

    /** Guards against prefills of others stretching the gaps between tokens. */
    @Test
    void gapBetweenTokensWithinBound() {
        for (Deployment user : USERS) {
            assertThat(
                    user.name(),
                    steady(user).gapMillis(outcome -> true, 0.95),
                    lessThanOrEqualTo(28.0));
        }
    }

    /** Guards against long prompts slowing short ones. */
    @Test
    void slowdownOfShortRequestsWithinBound() {
        for (Deployment user : USERS) {
            for (long seed : SEEDS) {
                Report report =
                        run(Schedule.steady(user, 0.8, SECONDS, seed), Contender.KUMQUATWEIR);
                String where = user.name() + " seed " + seed;
                assertThat(where, report.slowdown(Report::isShort, 0.99), lessThan(1.5));
            }
        }
    }

    /** Guards against keeping short requests fast at the price of the whole throughput. */
    @Test
    void goodputNearTheReferenceWithoutOverload() {
        for (Deployment user : USERS) {
            assertGoodput(Schedule.steady(user, 0.8, SECONDS, SEED));
        }
    }

    /** Guards against goodput collapsing at twice the capacity. */
    @Test
    void goodputNearTheReferenceAtTwiceTheCapacity() {
        for (Deployment user : USERS) {
            assertGoodput(Schedule.steady(user, 2, OVERLOAD_SECONDS, SEED));
        }
    }

    /** Guards against goodput collapsing at four times the capacity. */
    @Test
    void goodputNearTheReferenceAtFourTimesTheCapacity() {
        for (long seed : SEEDS) {
            assertGoodput(Schedule.steady(Deployment.kainBaru(), 4, OVERLOAD_SECONDS, seed));
        }
    }

    /** Guards against a simple rule doing better on what each user cares for. */
    @Test
    void aheadOfEachBaselineOnWeightedMeasures() {
        for (Deployment user : USERS) {
            double own = weighted(user, Contender.KUMQUATWEIR);
            for (Contender baseline : Contender.BASELINES) {
                assertThat(
                        user.name() + " " + baseline.name(),
                        own,
                        greaterThan(weighted(user, baseline)));
            }
        }
    }

    /** Guards against broken invariants and lost documents in every scenario. */
    @Test
    void keepsInvariantsAndLosesNoDocument() {
        for (Deployment user : USERS) {
            for (Schedule schedule :
                    List.of(
                            Schedule.steady(user, 0.8, SECONDS, SEED),
                            Schedule.steady(user, 2, OVERLOAD_SECONDS, SEED),
                            Schedule.steady(user, 4, OVERLOAD_SECONDS, SEED),
                            Schedule.domain(user, 0.8, SECONDS, SEED),
                            Schedule.faults(user, 0.6, SECONDS, SEED))) {
                Report report = run(schedule, Contender.KUMQUATWEIR);
                String where = user.name() + " " + schedule.name();
                assertThat(where + report.measures().violations(), report.violations(), is(0));
                assertThat(where, report.lost(Report::isDocument), is(0L));
            }
        }
    }

    /** Guards against a run that can't be repeated from its seed. */
    @Test
    void sameSeedGivesTheSameRun() {
        Schedule schedule = Schedule.faults(Deployment.kainBaru(), 0.6, 20, SEED);
        Report first = BenchRun.run(schedule, Contender.KUMQUATWEIR);
        Report second = BenchRun.run(schedule, Contender.KUMQUATWEIR);
        assertThat(
                second.measures().outcomes().stream().map(one -> one.mFinishedNanos).toList(),
                is(first.measures().outcomes().stream().map(one -> one.mFinishedNanos).toList()));
    }

    private static void assertGoodput(Schedule schedule) {
        double bound = run(schedule, Contender.IDEAL).goodputTokensPerSecond();
        double own = run(schedule, Contender.KUMQUATWEIR).goodputTokensPerSecond();
        String where =
                schedule.deployment().name() + " " + schedule.name() + " seed " + schedule.seed();
        assertThat(where, own / bound, greaterThanOrEqualTo(0.9));
    }

    /** Kain Baru gives more weight to service during domain changes, Tendal to slowdown. */
    private static double weighted(Deployment user, Contender contender) {
        double domainWeight = user.name().equals("tendal") ? 0.3 : 0.7;
        Schedule change = Schedule.domain(user, 0.8, SECONDS, SEED);
        Report domain = run(change, contender);
        double served = domain.servedWellShare(change.nanos() / 4, change.nanos());
        Report steady = run(Schedule.steady(user, 0.8, SECONDS, SEED), contender);
        double slowdown = steady.slowdown(Report::isShort, 0.99);
        return domainWeight * served + (1 - domainWeight) / slowdown;
    }

    private static Report steady(Deployment user) {
        return run(Schedule.steady(user, 0.8, SECONDS, SEED), Contender.KUMQUATWEIR);
    }

    private static Report run(Schedule schedule, Contender contender) {
        String key =
                schedule.deployment().name()
                        + schedule.name()
                        + schedule.nanos()
                        + "seed"
                        + schedule.seed()
                        + contender.name();
        return REPORTS.computeIfAbsent(key, name -> BenchRun.run(schedule, contender));
    }
}
