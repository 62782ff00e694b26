package dev.kumquatweir.policy.retry;

import static dev.kumquatweir.policy.RecoveryFixtures.MILLI;
import static dev.kumquatweir.policy.RecoveryFixtures.SECOND;
import static dev.kumquatweir.policy.RecoveryFixtures.request;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.core.configuration.RequestClass;
import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent.BreakCause;
import dev.kumquatweir.policy.dispatch.AttemptEvent.RefusalReason;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import java.util.List;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RetryPolicyTest {
    private static final UpstreamId FIRST = new UpstreamId("engine-1");
    private static final UpstreamId SECOND_ENGINE = new UpstreamId("engine-2");
    private static final FailureDomain DOMAIN = new FailureDomain("klang-a");
    private static final WorkRequest QUESTION = request(RequestClass.SHORT, 1_000, 30 * SECOND);
    private static final WorkRequest DEPOSIT = request(RequestClass.ACTION, 0, 60 * SECOND);

    private final RetryBudget mBudget = RetryBudget.builder().capacity(2).build(0);
    private final RetryPolicy mPolicy = RetryPolicy.builder().build(mBudget);

    /** Guards against an action, such as a card deposit, that is executed twice. */
    @ParameterizedTest
    @EnumSource(BreakCause.class)
    void neverRepeatsAnActionThatMayHaveExecuted(BreakCause how) {
        RetryDecision decision = mPolicy.decide(DEPOSIT, List.of(broken(FIRST, how)), 0, 0, 0);
        assertThat(ran(decision), is(Executed.UNKNOWN));
        RetryDecision later =
                mPolicy.decide(
                        DEPOSIT,
                        List.of(
                                broken(FIRST, how),
                                refused(SECOND_ENGINE, RefusalReason.CONNECTION_REFUSED)),
                        0,
                        0,
                        0);
        assertThat(ran(later), is(Executed.UNKNOWN));
    }

    /** Guards against an action that fails although no attempt executed and a retry was safe. */
    @ParameterizedTest
    @EnumSource(RefusalReason.class)
    void repeatsAnActionThatDidNotExecute(RefusalReason reason) {
        RetryDecision decision = mPolicy.decide(DEPOSIT, List.of(refused(FIRST, reason)), 0, 0, 0);
        assertThat(decision, instanceOf(RetryDecision.Retry.class));
    }

    /** Guards against a retry that restarts the stream or uses the engine on which it broke. */
    @Test
    void resumesBrokenStreamsElsewhereAtTheTokenOffset() {
        RetryDecision decision =
                mPolicy.decide(
                        QUESTION,
                        List.of(broken(FIRST, BreakCause.CONNECTION_LOST)),
                        42,
                        SECOND,
                        0);
        RetryDecision.Retry retry = (RetryDecision.Retry) decision;
        assertThat(retry.resumeOffset(), is(42L));
        assertThat(retry.excludedUpstreams(), contains(FIRST));
        assertThat(retry.avoidedDomains(), contains(DOMAIN));
        assertThat(retry.notBeforeNanos(), is(0L));
    }

    /**
     * Guards against excluding all engines of a small fleet because of a temporary lack of memory.
     */
    @Test
    void keepsFullEnginesAsLastResortAndForgetsOldFailures() {
        List<AttemptEnd> ends =
                List.of(
                        broken(FIRST, BreakCause.SILENT),
                        new AttemptEnd.NotRun(
                                SECOND_ENGINE, DOMAIN, RefusalReason.MEMORY_FULL, 20 * SECOND));
        WorkRequest dossier = request(RequestClass.LONG, 100_000, 1_800 * SECOND);
        RetryDecision.Retry retry =
                (RetryDecision.Retry) mPolicy.decide(dossier, ends, 0, SECOND, 31 * SECOND);
        assertThat(retry.excludedUpstreams(), empty());
        assertThat(retry.lastResortUpstreams(), contains(SECOND_ENGINE));
        assertThat(retry.notBeforeNanos(), greaterThan(31 * SECOND));
    }

    /** Guards against a retry that cannot finish before the deadline. */
    @Test
    void givesUpWhenAnotherAttemptCannotEndInTime() {
        RetryDecision decision =
                mPolicy.decide(
                        QUESTION,
                        List.of(broken(FIRST, BreakCause.SILENT)),
                        3,
                        2 * SECOND,
                        29 * SECOND);
        assertThat(((RetryDecision.GiveUp) decision).failure().code(), is("deadline_exceeded"));
        assertThat(ran(decision), is(Executed.YES));
    }

    /** Guards against a retry storm on a failing fleet. */
    @Test
    void waitsForTheBudgetAndSendsAtMostItsShareWhenAllFails() {
        long retries =
                LongStream.range(0, 10_000)
                        .mapToObj(
                                step ->
                                        mPolicy.decide(
                                                QUESTION,
                                                List.of(broken(FIRST, BreakCause.UPSTREAM_GONE)),
                                                0,
                                                0,
                                                step * MILLI))
                        .filter(decision -> decision instanceof RetryDecision.Retry)
                        .count();
        assertThat(retries, is(6L));
        RetryDecision waiting =
                mPolicy.decide(
                        QUESTION,
                        List.of(broken(FIRST, BreakCause.UPSTREAM_GONE)),
                        0,
                        0,
                        10 * SECOND + MILLI);
        assertThat(waiting, instanceOf(RetryDecision.Retry.class));
        assertThat(
                mPolicy.decide(
                        QUESTION,
                        List.of(broken(FIRST, BreakCause.UPSTREAM_GONE)),
                        0,
                        0,
                        10 * SECOND + MILLI + 1),
                instanceOf(RetryDecision.Wait.class));
    }

    /**
     * Guards against a budget that grants more retries than capacity, successes and refill allow.
     */
    @Property(seed = "2601", tries = 200)
    void neverExceedsTheBudget(
            @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 3) Integer> steps) {
        RetryBudget budget = RetryBudget.builder().successShare(0.25).capacity(4).build(0);
        long now = 0;
        long successes = 0;
        long withdrawn = 0;
        for (int step : steps) {
            switch (step) {
                case 0 -> now += SECOND / 10;
                case 1 -> {
                    budget.recordSuccess(now);
                    successes++;
                }
                default -> withdrawn += budget.withdraw(now) ? 1 : 0;
            }
            double allowed = 4 + successes * 0.25 + now / (double) SECOND * 0.5;
            assertThat((double) withdrawn, lessThanOrEqualTo(allowed + 1e-9));
        }
    }

    private static Executed ran(RetryDecision decision) {
        return ((RetryDecision.GiveUp) decision).failure().executed();
    }

    private static AttemptEnd broken(UpstreamId upstream, BreakCause how) {
        return new AttemptEnd.MayHaveRun(upstream, DOMAIN, how, 0);
    }

    private static AttemptEnd refused(UpstreamId upstream, RefusalReason reason) {
        return new AttemptEnd.NotRun(upstream, DOMAIN, reason, 0);
    }
}
