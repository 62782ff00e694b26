package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.emptyString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Silent network partitions between the instances: nothing is closed, nothing arrives. */
class PartitionIt {
    private static final String BODY = "{\"amount\": 50}";
    private static final int SOME_HOLDS = 5;
    private static final int TOKENS = 400;

    @TempDir static Path sFolder;
    private static LocalCluster sCluster;
    private static CuttingRelay.Cuts sCuts;

    @BeforeAll
    static void startCluster() {
        sCluster = LocalCluster.start(sFolder);
        sCuts = sCluster.putRelaysBetween();
        sCluster.startService("bookings-1", "klang-b");
        sCluster.startEngine("engine-1", "klang-a");
        sCluster.startEngine("engine-2", "klang-b");
    }

    @AfterAll
    static void stopCluster() {
        sCluster.close();
    }

    @BeforeEach
    void awaitUpstreams() {
        sCluster.awaitAllReady();
        sCluster.awaitService();
        sCluster.awaitEngines();
    }

    @AfterEach
    void heal() {
        sCuts.heal();
    }

    /** Guards against a cut-off leader that goes on granting leases and claims. */
    @Test
    void isolatedLeaderStopsAndTheOthersGoOn() {
        int leader = sCluster.awaitLeader();
        try (HoldCallers callers = HoldCallers.start(sCluster, "isolated-leader")) {
            callers.awaitMoreExcept(leader, SOME_HOLDS);
            sCuts.isolate(leader);
            awaitUnready(leader);
            checkTakesNoWork(leader);
            callers.awaitMoreExcept(leader, SOME_HOLDS);
            int successor = sCluster.awaitLeader();
            assertThat(successor, not(leader));
            sCuts.heal();
            sCluster.awaitReady(leader);
            callers.awaitMore(leader, SOME_HOLDS);
            assertThat("the old leader took over again", sCluster.awaitLeader(), is(successor));
            callers.check();
        }
    }

    /** Guards against a leader that is heard but hears nobody and never steps down. */
    @Test
    void leaderThatHearsNobodyStepsDown() {
        int leader = sCluster.awaitLeader();
        try (HoldCallers callers = HoldCallers.start(sCluster, "deaf-leader")) {
            callers.awaitMoreExcept(leader, SOME_HOLDS);
            for (int other = 0; other < LocalCluster.INSTANCES; other++) {
                if (other != leader) {
                    sCuts.cut(other, leader);
                }
            }
            awaitUnready(leader);
            callers.awaitMoreExcept(leader, SOME_HOLDS);
            sCuts.heal();
            callers.awaitMore(leader, SOME_HOLDS);
            callers.check();
        }
    }

    /** Guards against a partition that breaks running answers or lets new work through. */
    @Test
    void isolatedInstanceFinishesItsStreamsAndReturns() throws InterruptedException {
        int leader = sCluster.awaitLeader();
        int cut = (leader + 1) % LocalCluster.VOTERS;
        CountDownLatch begun = new CountDownLatch(1);
        String prompt = "Sofa before the cut";
        CompletableFuture<Caller.Streamed> running =
                Caller.streamLater(
                        sCluster.url(cut), "quick", prompt, TOKENS, text -> begun.countDown());
        assertThat(begun.await(90, TimeUnit.SECONDS), is(true));
        sCuts.isolate(cut);
        awaitUnready(cut);
        checkTakesNoWork(cut);
        Caller.Streamed answer = running.join();
        assertThat(answer.error(), emptyString());
        assertThat(answer.text(), equalTo(Caller.expected(prompt, TOKENS)));
        assertThat(answer.complete(), is(true));
        sCuts.heal();
        sCluster.awaitReady(cut);
        sCluster.awaitService();
        Caller.Answer returned = Caller.post(sCluster.holdUrl(cut), "returned", BODY);
        assertThat(returned.toString(), returned.status(), equalTo(200));
    }

    /** Guards against a frozen claimant that sends on waking, after its send-by time of 10 s. */
    @Test
    void instanceFrozenBetweenClaimAndSendNeverSendsLate() {
        int entry = LocalCluster.INSTANCES - 1;
        int leader = sCluster.awaitLeader();
        String key = "frozen-claimant";
        sCuts.watch(key, leader);
        // The claim arrives at the leader and its answer does not come back.
        for (int voter = 0; voter < LocalCluster.VOTERS; voter++) {
            sCuts.cut(voter, entry);
        }
        CompletableFuture<Caller.Answer> claimant =
                CompletableFuture.supplyAsync(
                        () -> Caller.tryPost(sCluster.holdUrl(entry), key, BODY),
                        task -> Thread.ofVirtual().start(task));
        sCuts.awaitWatched();
        sCluster.instance(entry).freeze();
        try {
            sCuts.heal();
            Waiting.during(Duration.ofSeconds(11));
            // Tells an execution before the freeze from a late one.
            String log = sCluster.instance(entry).log();
            assertThat(log, sCluster.executions("bookings-1").path(key).asInt(), is(0));
        } finally {
            sCluster.instance(entry).thaw();
        }
        Caller.Answer late = claimant.join();
        assertThat(late + "\n" + sCluster.instance(entry).log(), late.status(), not(200));
        assertThat(sCluster.executions("bookings-1").path(key).asInt(), is(0));
        Caller.Answer repeat = Caller.post(sCluster.holdUrl(leader), key, BODY);
        int executions = sCluster.executions("bookings-1").path(key).asInt();
        assertThat(executions, lessThanOrEqualTo(1));
        assertThat(repeat.toString(), executions, is(repeat.status() == 200 ? 1 : 0));
    }

    private static void awaitUnready(int instance) {
        Waiting.until(
                "instance " + instance + " fails readiness",
                () -> Caller.status(sCluster.url(instance) + "/health/ready") == 503);
    }

    private static void checkTakesNoWork(int instance) {
        Caller.Answer question = Caller.complete(sCluster.url(instance), "quick", "cut off?", 1);
        assertThat(question.toString(), question.status(), equalTo(503));
        assertThat(question.ran(), equalTo("no"));
        String key = "cut-off-" + instance;
        Caller.Answer hold = Caller.post(sCluster.holdUrl(instance), key, BODY);
        assertThat(hold.toString(), hold.status(), equalTo(503));
        assertThat(hold.ran(), equalTo("unknown"));
        assertThat(sCluster.executions("bookings-1").path(key).asInt(), is(0));
    }
}
