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

    /** Guards against a third upstream crashed by one request, and a fourth by its repeat. */
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

    /** Guards against a suspect that starts beside other work, here or of another instance. */
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
        assertThat(mQuarantine.exclusive(alone.upstream(), mFixture.mNow), is(true));
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

    /** Guards against a suspect at the head of its team's queue that keeps back the rest. */
    @Test
    void waitingSuspectsKeepNothingBack() {
        startEngines();
        mFixture.admitQuestion();
        crash(mFixture.starts().getFirst());
        report(1);
        mFixture.actions();
        mFixture.admit(mFixture.other("other", DispatcherFixture.QUESTION, 1_000, 100));
        assertThat(mFixture.starts(), hasSize(1));
    }

    /** Guards against a suspect that waits past its deadline or leaves its upstream reserved. */
    @Test
    void waitingSuspectsFailAtTheirDeadline() {
        startEngines();
        WorkRequest request = mFixture.admitQuestion();
        crash(mFixture.starts().getFirst());
        mFixture.mNow = request.deadlineNanos() - TimeUnit.MILLISECONDS.toNanos(400);
        report(1);
        mFixture.actions();
        report(1);
        mFixture.actions();
        assertThat(mQuarantine.exclusiveUpstreams(mFixture.mNow), not(empty()));
        mFixture.mNow = request.deadlineNanos() - 1;
        assertThat(
                ((DispatchAction.Fail) mFixture.actions().getFirst()).failure(),
                instanceOf(RequestFailure.DeadlineExceeded.class));
        assertThat(mQuarantine.exclusiveUpstreams(mFixture.mNow), empty());
    }

    /** Guards against a report that was on its way at the crash and is taken for a sign of life. */
    @Test
    void reportsSentBeforeTheCrashExcuseNothing() {
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
                        .marks(mFixture.mNow)
                        .getFirst()
                        .suspicions()
                        .values()
                        .iterator()
                        .next()
                        .state()
                        .name(),
                is("CONFIRMED"));
    }

    /** Guards against admitted work that misses its deadline where no upstream ever empties. */
    @Test
    void suspectsRunBesideOthersAfterWaiting() {
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

    /** Guards against a document that waits till its deadline for an engine that could hold it. */
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

    /** Breaks the connection; the upstream comes back under a new incarnation. */
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
