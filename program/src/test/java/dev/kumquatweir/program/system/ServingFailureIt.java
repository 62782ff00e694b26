package dev.kumquatweir.program.system;

import static java.util.Comparator.comparingInt;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.emptyString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Streams while engines and instances fail in the middle of them. */
class ServingFailureIt {
    private static final int STREAMS = 12;
    private static final int TOKENS = 300;
    private static final List<String> ENGINES = List.of("engine-1", "engine-2", "engine-3");

    @TempDir static Path sFolder;
    private static LocalCluster sCluster;

    @BeforeAll
    static void startCluster() {
        sCluster = LocalCluster.start(sFolder);
        sCluster.startEngine("engine-1", "klang-a");
        sCluster.startEngine("engine-2", "klang-b");
        sCluster.startEngine("engine-3", "klang-c");
    }

    @AfterAll
    static void stopCluster() {
        sCluster.close();
    }

    @BeforeEach
    void awaitEngines() {
        sCluster.awaitAllReady();
        ENGINES.forEach(
                engine ->
                        Waiting.until(engine + " answers", () -> requests(engine).status() == 200));
        sCluster.awaitEngines();
    }

    /** Guards against answers cut, doubled or stuck when an engine stops answering. */
    @Test
    void frozenEngine() throws InterruptedException {
        StreamedAnswers running = start("frozen");
        String engine = busiestEngine();
        sCluster.fault(engine, "freeze", "true");
        try {
            running.checkWholeOrFailed();
        } finally {
            sCluster.fault(engine, "freeze", "false");
        }
    }

    /** Guards against waiting for ever on connections whose state a middlebox dropped. */
    @Test
    void silentConnections() throws InterruptedException {
        StreamedAnswers running = start("silent");
        sCluster.fault(busiestEngine(), "silent", "true");
        running.checkWholeOrFailed();
    }

    /** Guards against tokens lost or doubled when an engine's process dies. */
    @Test
    void dyingEngine() throws InterruptedException {
        StreamedAnswers running = start("dying");
        LocalProcess engine = sCluster.upstream(busiestEngine());
        engine.kill();
        try {
            running.checkWholeOrFailed();
        } finally {
            engine.startAgain();
        }
    }

    /** Guards against streams lost on an engine that becomes cold without a word. */
    @Test
    void engineTurningCold() throws InterruptedException {
        StreamedAnswers running = start("cold");
        String engine = busiestEngine();
        sCluster.fault(engine, "cold", "\"hidden\"");
        try {
            running.checkWholeOrFailed();
        } finally {
            sCluster.fault(engine, "cold", "false");
        }
    }

    /** Guards against a truncated answer that looks complete, and against harm to other streams. */
    @Test
    void killedInstanceBreaksOnlyItsOwnStreams() throws InterruptedException {
        StreamedAnswers running = start("killed");
        sCluster.instance(2).kill();
        try {
            for (int number = 0; number < STREAMS; number++) {
                if (number % LocalCluster.INSTANCES == 2) {
                    Caller.Streamed broken = running.answer(number);
                    assertThat(broken.complete(), is(false));
                    assertThat(broken.error(), not(emptyString()));
                    assertThat(running.expected(number), startsWith(broken.text()));
                } else {
                    running.checkWhole(number);
                }
            }
        } finally {
            sCluster.instance(2).startAgain();
        }
    }

    /** Guards against a planned stop that cuts streams or leaves the balancer uninformed. */
    @Test
    void terminatedInstanceEndsItsStreamsFirst() throws InterruptedException {
        StreamedAnswers running = start("terminated");
        LocalProcess instance = sCluster.instance(1);
        instance.beginTermination();
        try {
            Waiting.until(
                    "readiness fails before the instance ends",
                    () -> Caller.status(sCluster.url(1) + "/health/ready") == 503);
            assertThat("a stream still runs", running.done(1), is(false));
            running.checkAllWhole();
            assertThat(instance.awaitEnd(), is(0));
        } finally {
            instance.startAgain();
        }
    }

    private static StreamedAnswers start(String name) throws InterruptedException {
        return StreamedAnswers.start(sCluster, name, STREAMS, TOKENS);
    }

    /** Returns the engine that most streams run on, so that a fault there hits some. */
    private static String busiestEngine() {
        String busiest =
                ENGINES.stream().max(comparingInt(ServingFailureIt::running)).orElseThrow();
        assertThat("streams on " + busiest, running(busiest), greaterThan(0));
        return busiest;
    }

    private static int running(String engine) {
        return requests(engine).json().path("requests").size();
    }

    private static Caller.Answer requests(String engine) {
        return Caller.askStandin(sCluster.upstreamUrl(engine) + "/engine/v1/requests", "");
    }
}
