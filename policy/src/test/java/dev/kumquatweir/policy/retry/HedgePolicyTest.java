package dev.kumquatweir.policy.retry;

import static dev.kumquatweir.policy.RecoveryFixtures.MILLI;
import static dev.kumquatweir.policy.RecoveryFixtures.SECOND;
import static dev.kumquatweir.policy.RecoveryFixtures.request;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.configuration.RequestClass;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import dev.kumquatweir.policy.retry.HedgePolicy.AttemptProgress;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class HedgePolicyTest {
    private static final WorkRequest QUESTION = request(RequestClass.SHORT, 1_000, 30 * SECOND);
    private static final AttemptProgress SLOW =
            new AttemptProgress(0, 200 * MILLI, 0, false, false);

    private final RetryBudget mBudget = RetryBudget.builder().capacity(7).build(0);
    private final HedgePolicy mPolicy = HedgePolicy.builder().build(mBudget);

    static Stream<Arguments> requestsNotHedged() {
        return Stream.of(
                Arguments.of(
                        request(RequestClass.ACTION, 0, 30 * SECOND),
                        SLOW,
                        HedgeDecision.Reason.NOT_REPEATABLE),
                Arguments.of(
                        request(RequestClass.LONG, 1_000, 30 * SECOND),
                        SLOW,
                        HedgeDecision.Reason.NOT_SHORT),
                Arguments.of(
                        request(RequestClass.SHORT, 5_000, 30 * SECOND),
                        SLOW,
                        HedgeDecision.Reason.NOT_SHORT),
                Arguments.of(
                        QUESTION,
                        new AttemptProgress(0, 1, 1, false, false),
                        HedgeDecision.Reason.ANSWERING),
                Arguments.of(
                        QUESTION,
                        new AttemptProgress(0, 1, 0, true, false),
                        HedgeDecision.Reason.ALREADY_HEDGED),
                Arguments.of(
                        QUESTION,
                        new AttemptProgress(0, 1, 0, false, true),
                        HedgeDecision.Reason.SUSPECT),
                Arguments.of(
                        request(RequestClass.SHORT, 1_000, SECOND),
                        SLOW,
                        HedgeDecision.Reason.NO_TIME));
    }

    /**
     * Guards against hedging requests that are long, must not be repeated, or are suspected of
     * crashing engines.
     */
    @ParameterizedTest
    @MethodSource("requestsNotHedged")
    void hedgesOnlyShortRepeatableWork(
            WorkRequest request, AttemptProgress running, HedgeDecision.Reason reason) {
        assertThat(
                mPolicy.decide(request, running, SECOND, 700 * MILLI),
                is(new HedgeDecision.Never(reason)));
    }

    /** Guards against hedges that consume the retry budget reserved for failures. */
    @Test
    void hedgesLateAttemptsWithinTheBudget() {
        assertThat(
                mPolicy.decide(QUESTION, SLOW, SECOND, 0), is(new HedgeDecision.Wait(600 * MILLI)));
        assertThat(
                mPolicy.decide(QUESTION, SLOW, SECOND, 600 * MILLI), is(new HedgeDecision.Hedge()));
        assertThat(
                mPolicy.decide(QUESTION, SLOW, SECOND, 600 * MILLI), is(new HedgeDecision.Hedge()));
        assertThat(
                mPolicy.decide(QUESTION, SLOW, SECOND, 600 * MILLI),
                instanceOf(HedgeDecision.Wait.class));
        assertThat(mBudget.available(600 * MILLI), is(5.0));
    }

    /** Guards against tokens of the losing attempt that reach the caller. */
    @Test
    void takesTokensOfTheWinnerOnly() {
        StreamAssembler assembler = new StreamAssembler();
        AttemptId loser = new AttemptId("a:1:1");
        AttemptId winner = new AttemptId("a:1:2");
        assembler.begin(loser);
        assembler.begin(winner);
        assertThat(assembler.acceptToken(loser, 0, "x"), is(new StreamStep.NotCurrent()));
        assertThat(assembler.acceptToken(winner, 0, "y"), is(new StreamStep.Deliver(0)));
    }
}
