package dev.kumquatweir.policy.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.policy.quarantine.Quarantine;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class QuarantinedRecoveryTest {
    private static final int ENGINES = 4;

    private final Quarantine mQuarantine = Quarantine.builder().owner("entry-2").build();
    private final DispatcherFixture mFixture =
            new DispatcherFixture(new QuarantinedRecovery(new SimpleRecovery(), mQuarantine));
    private long mSequence;

    /**
     * Guards against a request that crashes a third upstream on its next attempt, and a fourth when
     * it is submitted again.
     */
    @Test
    void refusesRequestsThatCrashedTwoUpstreams() {
        startEngines();
        mFixture.admitQuestion();
        DispatchAction.Start first = mFixture.starts().getFirst();
        crash(first);
        DispatchAction.Start second = passUntilStart();
        assertThat(second.upstream(), is(not(first.upstream())));
        crash(second);
        List<DispatchAction> actions = passUntilAction();
        assertThat(
                ((DispatchAction.Fail) actions.getFirst()).failure(),
                equalTo(new RequestFailure.Quarantined(2, Executed.UNKNOWN)));
        assertThat(
                mFixture.admit(mFixture.request(DispatcherFixture.QUESTION, 1_000, 100, 30_000))
                        .getLeft(),
                equalTo(new RequestFailure.Quarantined(2, Executed.NO)));
    }

    /**
     * Guards against a suspect that shares its upstream with other work of this or another
     * instance.
     */
    @Test
    void runsSuspectsOnlyWhereNothingElseRuns() {
        startEngines();
        mFixture.admitQuestion();
        crash(mFixture.starts().getFirst());
        for (int round = 0; round < 20; round++) {
            report(1);
            assertThat(mFixture.starts(), empty());
        }
        DispatchAction.Start alone = passUntilStart();
        assertThat(mQuarantine.exclusive(alone.upstream(), mFixture.mNowNanos), is(true));
        for (int other = 0; other < 12; other++) {
            mFixture.admit(
                    mFixture.other("other-" + other, DispatcherFixture.QUESTION, 1_000, 100));
        }
        List<DispatchAction.Start> others = new ArrayList<>();
        for (int round = 0; round < 20; round++) {
            mFixture.pass(20);
            others.addAll(mFixture.starts());
        }
        assertThat(others, not(empty()));
        others.forEach(start -> assertThat(start.upstream(), is(not(alone.upstream()))));
    }

    /** Guards against a suspect at the head of its team's queue that blocks the other requests. */
    @Test
    void waitingSuspectsDoNotBlockOtherRequests() {
        startEngines();
        mFixture.admitQuestion();
        crash(mFixture.starts().getFirst());
        report(1);
        mFixture.actions();
        mFixture.admit(mFixture.other("other", DispatcherFixture.QUESTION, 1_000, 100));
        assertThat(mFixture.starts(), hasSize(1));
    }

    /**
     * Guards against a waiting suspect that outlives its deadline or leaves its upstream reserved.
     */
    @Test
    void waitingSuspectsFailAtTheirDeadline() {
        startEngines();
        WorkRequest request = mFixture.admitQuestion();
        crash(mFixture.starts().getFirst());
        mFixture.mNowNanos = request.deadlineNanos() - TimeUnit.MILLISECONDS.toNanos(400);
        report(1);
        mFixture.actions();
        report(1);
        mFixture.actions();
        assertThat(mQuarantine.exclusiveUpstreams(mFixture.mNowNanos), not(empty()));
        mFixture.mNowNanos = request.deadlineNanos() - 1;
        assertThat(
                ((DispatchAction.Fail) mFixture.actions().getFirst()).failure(),
                instanceOf(RequestFailure.DeadlineExceeded.class));
        assertThat(mQuarantine.exclusiveUpstreams(mFixture.mNowNanos), empty());
    }

    /**
     * Guards against a report sent before the crash that clears the suspicion when it arrives
     * afterwards.
     */
    @Test
    void reportsSentBeforeTheCrashDoNotClearSuspects() {
        startEngines();
        mFixture.admitQuestion();
        DispatchAction.Start first = mFixture.starts().getFirst();
        mFixture.observe(
                new AttemptEvent.Broken(first.attempt(), AttemptEvent.BreakCause.CONNECTION_LOST));
        mFixture.pass(100);
        report(0);
        mFixture.engine(first.upstream().value(), "a", 2, false);
        assertThat(
                mQuarantine
                        .marks(mFixture.mNowNanos)
                        .getFirst()
                        .suspicions()
                        .values()
                        .iterator()
                        .next()
                        .state()
                        .name(),
                is("CONFIRMED"));
    }

    /** Guards against suspects that miss their deadline because no upstream becomes idle. */
    @Test
    void suspectsShareAnUpstreamAfterMaximumWait() {
        startEngines();
        mFixture.admitQuestion();
        crash(mFixture.starts().getFirst());
        List<DispatchAction.Start> starts = List.of();
        for (int round = 0; round < 100 && starts.isEmpty(); round++) {
            report(1);
            starts = mFixture.starts();
        }
        assertThat(starts, not(empty()));
    }

    /**
     * Guards against a split prompt that waits until its deadline for a single engine that it would
     * fit on.
     */
    @Test
    void promptsOverSeveralEnginesRunAgainAfterCrash() {
        startEngines();
        mFixture.admit(mFixture.request(DispatcherFixture.DOSSIER, 150_000, 100, 3_600_000));
        crash(mFixture.starts().getFirst());
        assertThat(passUntilStart().partners(), not(empty()));
    }

    private void startEngines() {
        for (int engine = 1; engine <= ENGINES; engine++) {
            mFixture.engine("e" + engine, engine % 2 == 0 ? "a" : "b", 1, false);
        }
        report(0);
    }

    private void report(int running) {
        mFixture.pass(100);
        mSequence++;
        for (int engine = 1; engine <= ENGINES; engine++) {
            mFixture.report("e" + engine, mSequence, running, false);
        }
    }

    /** Breaks the connection, then announces a new incarnation of the upstream. */
    private void crash(DispatchAction.Start start) {
        mFixture.observe(
                new AttemptEvent.Broken(start.attempt(), AttemptEvent.BreakCause.CONNECTION_LOST));
        mFixture.pass(50);
        mFixture.engine(start.upstream().value(), "a", 2, false);
    }

    private DispatchAction.Start passUntilStart() {
        return (DispatchAction.Start) passUntilAction().getFirst();
    }

    private List<DispatchAction> passUntilAction() {
        List<DispatchAction> actions = new ArrayList<>();
        for (int round = 0; round < 100 && actions.isEmpty(); round++) {
            report(0);
            actions.addAll(mFixture.actions());
        }
        return actions;
    }
}
