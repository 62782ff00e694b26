package dev.kumquatweir.policy.quarantine;

import static dev.kumquatweir.policy.RecoveryFixtures.SECOND;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent.BreakCause;
import java.util.Set;
import org.junit.jupiter.api.Test;

class QuarantineTest {
    private static final FailureDomain DOMAIN = new FailureDomain("klang-a");
    private static final QuarantineDecision FREE = new QuarantineDecision.RunUnrestricted();
    private static final int UPSTREAMS = 15;

    private final Quarantine mQuarantine = Quarantine.builder().owner("entry-1").build();
    private final Quarantine mPeer = Quarantine.builder().owner("entry-2").build();
    private int mNextAttempt;

    /** Guards against a request that crashes a third upstream, through this or another instance. */
    @Test
    void refusesAfterTwoUpstreamsOnEachInstance() {
        start("poison", 1, false);
        mQuarantine.upstreamTerminated(incarnation(1), DOMAIN, 0);
        assertThat(decide("poison", 0), is(alone(1)));
        start("poison", 2, true);
        assertThat(mQuarantine.exclusive(incarnation(2).upstream(), 0), is(true));
        mQuarantine.upstreamTerminated(incarnation(2), DOMAIN, 20 * SECOND);
        QuarantineDecision refused =
                new QuarantineDecision.Refuse(new RequestFailure.Quarantined(2, Executed.NO));
        assertThat(decide("poison", 20 * SECOND), is(refused));
        mQuarantine.marks(20 * SECOND).forEach(mark -> mPeer.mergeRemote(mark, 0));
        assertThat(mPeer.decide("poison", UPSTREAMS, 0), is(refused));
        long end = 20 * SECOND + 15 * 60 * SECOND;
        assertThat(decide("poison", end), is(FREE));
    }

    /**
     * Guards against requests that remain suspects only because they shared a batch with the one
     * that crashed it.
     */
    @Test
    void clearsSuspectsThatSucceedAlone() {
        AttemptId early = start("neighbour", 1, false);
        mQuarantine.attemptProgressed(early, 40);
        start("poison", 1, false);
        assertThat(
                mQuarantine.upstreamTerminated(incarnation(1), DOMAIN, 0),
                is(new TerminationVerdict.RequestsSuspected(Set.of("neighbour", "poison"))));
        AttemptId again = start("neighbour", 2, true);
        mQuarantine.attemptProgressed(again, 55);
        assertThat(decide("neighbour", 1), is(alone(1)));
        mQuarantine.attemptProgressed(again, 56);
        assertThat(decide("neighbour", 1), is(FREE));
        assertThat(mQuarantine.exclusive(incarnation(2).upstream(), 1), is(false));
        start("poison", 3, true);
        mQuarantine.upstreamTerminated(incarnation(3), DOMAIN, 2);
        assertThat(decide("poison", 2), instanceOf(QuarantineDecision.Refuse.class));
        assertThat(decide("neighbour", 2), is(FREE));
    }

    /** Guards against other instances that place work on an upstream where a suspect runs alone. */
    @Test
    void tellsOtherInstancesWhereSuspectsRunAlone() {
        start("poison", 1, false);
        mQuarantine.upstreamTerminated(incarnation(1), DOMAIN, 0);
        start("poison", 2, true);
        mPeer.mergeRemote("entry-1", mQuarantine.exclusiveUses(0), 0);
        assertThat(mPeer.exclusive(incarnation(2).upstream(), 2 * SECOND), is(true));
        assertThat(mPeer.exclusive(incarnation(2).upstream(), 3 * SECOND), is(false));
        assertThat(mPeer.exclusive(incarnation(3).upstream(), 0), is(false));
    }

    /**
     * Guards against a retry that shares an upstream before the crash of the first one is
     * confirmed.
     */
    @Test
    void suspectsRequestsOfLostConnectionsUntilTheUpstreamReports() {
        AttemptId first = start("poison", 1, false);
        mQuarantine.attemptBroken(first, BreakCause.CONNECTION_LOST, 0);
        assertThat(decide("poison", 0), is(alone(1)));
        AttemptId second = start("poison", 2, true);
        mQuarantine.attemptBroken(second, BreakCause.CONNECTION_LOST, SECOND);
        assertThat(decide("poison", SECOND), instanceOf(QuarantineDecision.Wait.class));
        mQuarantine.upstreamAlive(incarnation(1));
        assertThat(decide("poison", SECOND), is(alone(2)));
        mQuarantine.upstreamTerminated(incarnation(2), DOMAIN, 11 * SECOND);
        assertThat(decide("poison", 11 * SECOND), is(alone(2)));
    }

    /**
     * Guards against a cleared connection loss that hides a later crash of the same incarnation.
     */
    @Test
    void suspectsRequestsOfCrashAfterEarlierFalseAlarm() {
        AttemptId first = start("poison", 1, false);
        mQuarantine.attemptBroken(first, BreakCause.CONNECTION_LOST, 0);
        mQuarantine.upstreamAlive(incarnation(1));
        assertThat(decide("poison", 0), is(FREE));
        start("poison", 1, false);
        mQuarantine.upstreamTerminated(incarnation(1), DOMAIN, SECOND);
        assertThat(decide("poison", SECOND), is(alone(1)));
    }

    /**
     * Guards against losing the suspects of an upstream that freezes and is known to have
     * terminated only much later.
     */
    @Test
    void remembersSilentAttemptsUntilTheTerminationIsKnown() {
        mQuarantine.attemptBroken(start("poison", 1, false), BreakCause.SILENT, 0);
        mQuarantine.attemptBroken(start("error", 1, false), BreakCause.UPSTREAM_ERROR, 0);
        assertThat(decide("poison", 0), is(FREE));
        mQuarantine.upstreamTerminated(incarnation(1), DOMAIN, 10 * SECOND);
        assertThat(decide("poison", 10 * SECOND), is(alone(1)));
        assertThat(decide("error", 10 * SECOND), is(FREE));
    }

    /** Guards against suspecting requests when an upstream is shut down by an operator. */
    @Test
    void suspectsNoRequestAfterPlannedStops() {
        AttemptId first = start("one", 1, false);
        start("two", 1, false);
        mQuarantine.upstreamLeaving(incarnation(1), 0);
        mQuarantine.attemptBroken(first, BreakCause.CONNECTION_LOST, 1);
        assertThat(
                mQuarantine.upstreamTerminated(incarnation(1), DOMAIN, 2),
                is(new TerminationVerdict.Planned()));
        assertThat(decide("one", 3), is(FREE));
        assertThat(decide("two", 3), is(FREE));
    }

    /** Guards against suspecting all requests of a failure domain that was lost. */
    @Test
    void suspectsNoRequestAfterDomainLoss() {
        for (int engine = 1; engine <= 5; engine++) {
            AttemptId lost = start("lost-" + engine, engine, false);
            start("silent-" + engine, engine, false);
            mQuarantine.attemptBroken(lost, BreakCause.CONNECTION_LOST, engine * SECOND / 2);
        }
        assertThat(decide("lost-1", 3 * SECOND), is(FREE));
        for (int engine = 1; engine <= 5; engine++) {
            assertThat(
                    mQuarantine.upstreamTerminated(incarnation(engine), DOMAIN, 10 * SECOND),
                    instanceOf(TerminationVerdict.DomainLoss.class));
            assertThat(decide("silent-" + engine, 10 * SECOND), is(FREE));
        }
        start("poison", 6, false);
        mQuarantine.upstreamTerminated(incarnation(6), DOMAIN, 20 * SECOND);
        assertThat(decide("poison", 20 * SECOND), is(alone(6)));
    }

    /** Guards against the suspects of one crashed batch that occupy all upstreams. */
    @Test
    void limitsSuspectsThatRunAloneConcurrently() {
        for (int request = 0; request < 8; request++) {
            start("request-" + request, 1, false);
        }
        mQuarantine.upstreamTerminated(incarnation(1), DOMAIN, 0);
        for (int request = 0; request < 3; request++) {
            assertThat(decide("request-" + request, 0), is(alone(1)));
            start("request-" + request, 2 + request, true);
        }
        assertThat(decide("request-3", 0), instanceOf(QuarantineDecision.Wait.class));
    }

    /**
     * Guards against memory that grows with each crash, and against evicting the most important
     * marks.
     */
    @Test
    void boundsTheNumberOfMarks() {
        Quarantine small = Quarantine.builder().marks(4, 100 * SECOND).build();
        for (int death = 1; death <= 2; death++) {
            small.attemptStarted(
                    new AttemptId("a:1:" + death), "poison", incarnation(death), DOMAIN);
            small.upstreamTerminated(incarnation(death), DOMAIN, 10 * SECOND * death);
        }
        for (int number = 3; number < 20; number++) {
            small.attemptStarted(
                    new AttemptId("a:1:" + number), "r" + number, incarnation(number), DOMAIN);
            small.upstreamTerminated(incarnation(number), DOMAIN, 30 * SECOND + number);
            assertThat(small.size(), lessThanOrEqualTo(4));
        }
        assertThat(
                small.decide("poison", UPSTREAMS, 31 * SECOND),
                instanceOf(QuarantineDecision.Refuse.class));
        small.expire(200 * SECOND);
        assertThat(small.size(), is(0));
    }

    /** Guards against placing a suspect on an upstream that it may have crashed before. */
    @Test
    void namesTheUpstreamsToAvoid() {
        Quarantine lenient = Quarantine.builder().domainLoss(9, SECOND).build();
        lenient.attemptStarted(new AttemptId("a:1:1"), "poison", incarnation(1), DOMAIN);
        lenient.upstreamTerminated(incarnation(1), DOMAIN, 0);
        QuarantineDecision decision = lenient.decide("poison", 1, 0);
        assertThat(
                ((QuarantineDecision.RunAlone) decision).avoidedUpstreams(),
                containsInAnyOrder(incarnation(1).upstream()));
    }

    private AttemptId start(String hash, int engine, boolean alone) {
        AttemptId attempt = new AttemptId("a:1:" + mNextAttempt++);
        if (alone) {
            mQuarantine.attemptStartedAlone(attempt, hash, incarnation(engine), DOMAIN);
        } else {
            mQuarantine.attemptStarted(attempt, hash, incarnation(engine), DOMAIN);
        }
        return attempt;
    }

    private QuarantineDecision decide(String hash, long nowNanos) {
        return mQuarantine.decide(hash, UPSTREAMS, nowNanos);
    }

    private static QuarantineDecision alone(int engine) {
        return new QuarantineDecision.RunAlone(Set.of(incarnation(engine).upstream()));
    }

    private static UpstreamIncarnation incarnation(int engine) {
        return new UpstreamIncarnation(new UpstreamId("engine-" + engine), 1);
    }
}
