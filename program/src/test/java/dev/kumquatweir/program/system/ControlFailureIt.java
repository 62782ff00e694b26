package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.nio.file.Path;
import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Deposit holds while instances and the booking service fail. */
class ControlFailureIt {
    private static final String BODY = "{\"amount\": 50}";
    private static final int SOME_HOLDS = 10;

    /** Time between execution and answer, so that a failure hits a hold in between. */
    private static final String DELAY_MILLIS = "200";

    @TempDir static Path sFolder;
    private static LocalCluster sCluster;

    @BeforeAll
    static void startCluster() {
        sCluster = LocalCluster.start(sFolder);
        sCluster.startService("bookings-1", "klang-b");
    }

    @AfterAll
    static void stopCluster() {
        sCluster.close();
    }

    @BeforeEach
    void awaitService() {
        sCluster.awaitAllReady();
        sCluster.awaitService();
    }

    /** Guards against a hold lost or doubled when the leader's machine crashes. */
    @Test
    void holdsRunOnceAlthoughTheLeaderIsKilled() {
        sCluster.fault("bookings-1", "delay", DELAY_MILLIS);
        try (HoldCallers callers = HoldCallers.start(sCluster, "killed")) {
            int leader = sCluster.awaitLeader();
            callers.awaitMoreExcept(leader, SOME_HOLDS);
            sCluster.instance(leader).kill();
            try {
                callers.awaitMoreExcept(leader, SOME_HOLDS);
            } finally {
                sCluster.instance(leader).startAgain();
            }
            callers.awaitMore(leader, SOME_HOLDS);
            callers.check();
        } finally {
            sCluster.fault("bookings-1", "delay", "0");
        }
    }

    /** Guards against an old leader that acts on what it knew before it was frozen. */
    @Test
    void holdsRunOnceAlthoughTheLeaderIsFrozen() {
        sCluster.fault("bookings-1", "delay", DELAY_MILLIS);
        try (HoldCallers callers = HoldCallers.start(sCluster, "frozen")) {
            int leader = sCluster.awaitLeader();
            callers.awaitMoreExcept(leader, SOME_HOLDS);
            sCluster.instance(leader).freeze();
            try {
                Waiting.during(Duration.ofSeconds(4));
                callers.awaitMoreExcept(leader, SOME_HOLDS);
            } finally {
                sCluster.instance(leader).thaw();
            }
            callers.awaitMore(leader, SOME_HOLDS);
            callers.check();
        } finally {
            sCluster.fault("bookings-1", "delay", "0");
        }
    }

    /** Guards against claims and answers that only the running processes know. */
    @Test
    void restartOfAllInstancesKeepsRecordedAnswers() {
        Caller.Answer first = Caller.post(sCluster.holdUrl(0), "kept", BODY);
        assertThat(first.status(), equalTo(200));
        IntStream.range(0, LocalCluster.INSTANCES)
                .forEach(instance -> sCluster.instance(instance).kill());
        IntStream.range(0, LocalCluster.INSTANCES)
                .forEach(instance -> sCluster.instance(instance).startAgain());
        sCluster.awaitAllReady();
        for (int instance = 0; instance < LocalCluster.INSTANCES; instance++) {
            Caller.Answer repeat = Caller.post(sCluster.holdUrl(instance), "kept", BODY);
            assertThat(repeat, equalTo(first));
        }
        assertThat(sCluster.executions("bookings-1").path("kept").asInt(), is(1));
    }

    /** Guards against a second hold when the service executed and its answer was lost. */
    @Test
    void connectionClosedAfterExecutionIsNeverRepeated() {
        sCluster.fault("bookings-1", "close_after", "{\"calls\": 1}");
        checkRepeats("closed-after", 1);
    }

    /** Guards against a retry where nobody can know that nothing was executed. */
    @Test
    void connectionClosedBeforeExecutionIsNeverRepeated() {
        sCluster.fault("bookings-1", "close_before", "{\"calls\": 1}");
        checkRepeats("closed-before", 0);
    }

    /** Guards against a second hold when the service executed and never answers. */
    @Test
    void silenceAfterExecutionIsNeverRepeated() {
        sCluster.fault("bookings-1", "silent_after", "{\"calls\": 1}");
        checkRepeats("silent-after", 1);
    }

    /** Guards against a planned stop that costs callers an election timeout. */
    @Test
    void plannedStopOfTheLeaderRefusesNoClaim() {
        try (HoldCallers callers = HoldCallers.start(sCluster, "planned")) {
            int leader = sCluster.awaitLeader();
            callers.awaitMoreExcept(leader, SOME_HOLDS);
            try {
                assertThat(sCluster.instance(leader).terminate(), is(0));
                callers.awaitMoreExcept(leader, SOME_HOLDS);
            } finally {
                sCluster.instance(leader).startAgain();
            }
            // A claim is refused only after 2 s without a leader, the longest gap allowed.
            callers.holds().stream()
                    .filter(hold -> hold.instance() != leader)
                    .forEach(hold -> assertThat(hold.toString(), hold.succeeded(), is(true)));
            callers.awaitMore(leader, SOME_HOLDS);
            callers.check();
        }
    }

    private static void checkRepeats(String key, int executions) {
        Caller.Answer first = Caller.post(sCluster.holdUrl(0), key, BODY, 3_000);
        assertThat(first.toString(), first.status(), not(200));
        assertThat(first.toString(), first.ran(), equalTo("unknown"));
        for (int instance = 0; instance < LocalCluster.INSTANCES; instance++) {
            Caller.Answer repeat = Caller.post(sCluster.holdUrl(instance), key, BODY);
            assertThat(repeat.toString(), repeat.type(), equalTo("outcome_unknown"));
            assertThat(repeat.ran(), equalTo("unknown"));
        }
        int count = sCluster.executions("bookings-1").path(key).asInt();
        assertThat(count, lessThanOrEqualTo(1));
        assertThat(count, is(executions));
    }
}
