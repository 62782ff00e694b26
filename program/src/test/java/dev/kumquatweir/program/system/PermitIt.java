package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.emptyString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Four instances in front of engines that stay cold and crash at work beyond their limits. */
class PermitIt {
    private static final int STREAMS = 16;
    private static final int TOKENS = 10;
    private static final List<String> ENGINES = List.of("engine-1", "engine-2");

    @TempDir static Path sFolder;
    private static LocalCluster sCluster;

    @BeforeAll
    static void startCluster() {
        sCluster = LocalCluster.start(sFolder);
        startCold("engine-1", "klang-a", 2);
        startCold("engine-2", "klang-b", 1);
    }

    @AfterAll
    static void stopCluster() {
        sCluster.close();
    }

    /** Guards against a deployment of cold engines that never starts to serve. */
    @BeforeEach
    void awaitEngines() {
        sCluster.awaitAllReady();
        sCluster.awaitEngines();
    }

    /** Guards against instances that each stay within a limit and exceed it together. */
    @Test
    void instancesTogetherStayWithinColdLimits() {
        List<CompletableFuture<Caller.Streamed>> answers =
                IntStream.range(0, STREAMS)
                        .mapToObj(number -> stream(number % LocalCluster.INSTANCES, "all", number))
                        .toList();
        checkWhole("all", answers);
        checkNeverExceeded();
    }

    /** Guards against a new leader that gives out what the old one's permits still allow. */
    @Test
    void coldLimitsHoldWhileTheLeaderIsKilled() {
        int leader = sCluster.awaitLeader();
        List<Integer> others =
                IntStream.range(0, LocalCluster.INSTANCES)
                        .filter(number -> number != leader)
                        .boxed()
                        .toList();
        List<CompletableFuture<Caller.Streamed>> answers =
                IntStream.range(0, STREAMS)
                        .mapToObj(
                                number ->
                                        stream(others.get(number % others.size()), "kill", number))
                        .toList();
        Waiting.until(
                "some answers are whole and some are not",
                () -> answers.stream().filter(CompletableFuture::isDone).count() >= 3);
        sCluster.instance(leader).kill();
        try {
            checkWhole("kill", answers);
            checkNeverExceeded();
        } finally {
            sCluster.instance(leader).startAgain();
        }
    }

    private static void startCold(String id, String domain, int limit) {
        String requests = Integer.toString(limit);
        sCluster.startEngine(
                id, domain, "--cold", "--cold-millis", "0", "--cold-requests", requests);
    }

    private static CompletableFuture<Caller.Streamed> stream(
            int instance, String name, int number) {
        return Caller.streamLater(
                sCluster.url(instance), "quick", prompt(name, number), TOKENS, text -> {});
    }

    private static void checkWhole(String name, List<CompletableFuture<Caller.Streamed>> answers) {
        for (int number = 0; number < answers.size(); number++) {
            Caller.Streamed answer = answers.get(number).orTimeout(150, TimeUnit.SECONDS).join();
            assertThat(answer.error(), emptyString());
            assertThat(answer.text(), equalTo(Caller.expected(prompt(name, number), TOKENS)));
            assertThat(answer.complete(), is(true));
        }
    }

    /** An engine that got more work than its limit has crashed, since it doesn't refuse any. */
    private static void checkNeverExceeded() {
        for (String engine : ENGINES) {
            JsonNode state =
                    Caller.askStandin(sCluster.upstreamUrl(engine) + "/standin/v1/state", "")
                            .json();
            assertThat(engine + " " + state, state.path("counts").path("crashes").asInt(-1), is(0));
        }
    }

    private static String prompt(String name, int number) {
        return "cold " + name + " " + number;
    }
}
