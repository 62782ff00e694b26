package dev.kumquatweir.policy.stop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Replays a planned stop under load in virtual time: calls, short streams and long prompts arrive
 * on open connections, wait for a place, run and are cut when the process ends.
 */
final class LateRequestAtPlannedStopTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long DRAIN_MILLIS = 7_400;

    /** Requests sent later than this after the stop began have to get a complete answer. */
    private static final long EXCUSED_MILLIS = 3_000;

    private static final long TIMEOUT_MILLIS = 15_000;
    private static final long TICK_MILLIS = 50;
    private static final int STOPS = 200;
    private static final int REQUESTS_PER_STOP = 60;

    /** One kind of request: time it waits for a place, time it then runs, and the estimate. */
    private record Load(long waitMillis, long runMillis, long expectedMillis) {}

    /** How a request ended: when it arrived, the action that ended it, and whether it was cut. */
    private record End(long arrivedMillis, Load load, StopAction action, boolean cut) {}

    /**
     * Guards against requests that are taken long after SIGTERM and cut without a complete answer
     * when the process ends.
     */
    @Test
    void requestTakenLateEndsWithAnAnswer() {
        List<End> ends = replay(20_261_205);
        assertThat(
                "taken late and cut",
                ends.stream()
                        .filter(end -> end.cut() && end.arrivedMillis() > EXCUSED_MILLIS)
                        .count(),
                is(0L));
        assertThat(
                "long prompts taken without the time to answer them",
                ends.stream()
                        .filter(end -> end.load().expectedMillis() > DRAIN_MILLIS)
                        .filter(end -> end.arrivedMillis() > 0)
                        .filter(end -> end.action() != StopAction.REJECT)
                        .count(),
                is(0L));
        assertThat(
                "cut with neither status nor answer",
                ends.stream()
                        .filter(end -> end.cut() && end.action() == StopAction.CONTINUE)
                        .count(),
                is(0L));
    }

    /** Guards against a stop that rejects what it has the time to answer. */
    @Test
    void shortRequestsAreServedDuringTheStop() {
        List<End> ends = replay(20_261_206);
        List<End> calls = ends.stream().filter(end -> end.load().runMillis() < 200).toList();
        assertThat("calls", calls.size(), greaterThan(STOPS));
        assertThat(
                "calls not served",
                calls.stream().filter(end -> end.action() != StopAction.CONTINUE).count(),
                is(0L));
        long shortRequests = ends.stream().filter(end -> end.load().runMillis() < 4_000).count();
        long rejected =
                ends.stream()
                        .filter(end -> end.load().runMillis() < 4_000)
                        .filter(end -> end.action() == StopAction.REJECT)
                        .count();
        assertThat(
                "share of short requests rejected",
                (double) rejected / shortRequests,
                lessThan(0.1));
    }

    /** Guards against a long prompt that waits for its place until it can't end any more. */
    @Test
    void waitingRequestIsRejectedOnceItCannotComplete() {
        PlannedStop stop = new PlannedStop(0, DRAIN_MILLIS * MILLI);
        RequestProgress waiting = new RequestProgress.Waiting(0, 6_000 * MILLI, 15_000 * MILLI);
        assertThat(stop.decide(waiting, 1_000 * MILLI), is(StopAction.CONTINUE));
        assertThat(stop.decide(waiting, 2_000 * MILLI), is(StopAction.REJECT));
    }

    /** Guards against work that is sent again although it can't complete any more. */
    @Test
    void resendThatCannotCompleteIsBrokenOffAtOnce() {
        PlannedStop stop = new PlannedStop(0, DRAIN_MILLIS * MILLI);
        long expectedNanos = 6_000 * MILLI;
        assertThat(
                stop.decide(new RequestProgress.WaitingAgain(expectedNanos, false), 2_000 * MILLI),
                is(StopAction.FAIL));
        assertThat(
                stop.decide(new RequestProgress.WaitingAgain(expectedNanos, true), 2_000 * MILLI),
                is(StopAction.ABORT));
        assertThat(
                stop.decide(new RequestProgress.WaitingAgain(expectedNanos, true), 1_000 * MILLI),
                is(StopAction.CONTINUE));
    }

    private static List<End> replay(long seed) {
        Random random = new Random(seed);
        List<End> ends = new ArrayList<>();
        for (int stopNumber = 0; stopNumber < STOPS; stopNumber++) {
            PlannedStop stop = new PlannedStop(0, DRAIN_MILLIS * MILLI);
            for (int number = 0; number < REQUESTS_PER_STOP; number++) {
                long arrivedMillis = random.nextInt(-4_000, 4_000);
                if (stop.acceptsConnections(arrivedMillis * MILLI)) {
                    ends.add(run(stop, arrivedMillis, load(random)));
                }
            }
        }
        return ends;
    }

    private static Load load(Random random) {
        return switch (random.nextInt(4)) {
            case 0 -> new Load(random.nextInt(5), 40 + random.nextInt(100), 400);
            case 1 -> new Load(random.nextInt(50), 1_500 + random.nextInt(2_800), 4_300);
            case 2 -> new Load(random.nextInt(500), 2_000 + random.nextInt(2_500), 4_500);
            default -> new Load(random.nextInt(4_000), 5_000 + random.nextInt(5_000), 9_000);
        };
    }

    private static End run(PlannedStop stop, long arrivedMillis, Load load) {
        long sentMillis = arrivedMillis + load.waitMillis();
        long answeringMillis = sentMillis + load.runMillis() / 3;
        long endMillis = sentMillis + load.runMillis();
        for (long now = Math.max(0, arrivedMillis); now < endMillis; now += TICK_MILLIS) {
            RequestProgress progress =
                    now < sentMillis
                            ? new RequestProgress.Waiting(
                                    arrivedMillis * MILLI,
                                    load.expectedMillis() * MILLI,
                                    TIMEOUT_MILLIS * MILLI)
                            : now < answeringMillis
                                    ? new RequestProgress.Sent()
                                    : new RequestProgress.Answering();
            StopAction action = stop.decide(progress, now * MILLI);
            if (action != StopAction.CONTINUE) {
                return new End(arrivedMillis, load, action, action != StopAction.REJECT);
            }
            if (now * MILLI >= stop.exitNanos()) {
                return new End(arrivedMillis, load, StopAction.CONTINUE, true);
            }
        }
        return new End(arrivedMillis, load, StopAction.CONTINUE, false);
    }
}
