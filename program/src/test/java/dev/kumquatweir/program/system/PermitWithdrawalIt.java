package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An engine that becomes cold while it runs work of all instances. */
class PermitWithdrawalIt {
    private static final int STREAMS = 16;
    private static final int TOKENS = 1_200;
    private static final int COLD_LIMIT = 2;
    private static final List<String> ENGINES = List.of("engine-1", "engine-2");

    @TempDir static Path sFolder;

    /** Guards against work beyond the limit that stays on a cold engine, or is lost when moved. */
    @Test
    void workBeyondTheLimitMovesToAnotherEngine() throws InterruptedException {
        try (LocalCluster cluster = LocalCluster.start(sFolder)) {
            start(cluster, "engine-1", "klang-a");
            start(cluster, "engine-2", "klang-b");
            cluster.awaitEngines();
            ENGINES.forEach(
                    engine ->
                            Waiting.until(
                                    engine + " answers",
                                    () -> requests(cluster, engine).status() == 200));
            StreamedAnswers answers = StreamedAnswers.start(cluster, "withdrawn", STREAMS, TOKENS);
            String engine =
                    running(cluster, "engine-1") >= running(cluster, "engine-2")
                            ? "engine-1"
                            : "engine-2";
            assertThat(running(cluster, engine), greaterThan(COLD_LIMIT));
            cluster.fault(engine, "cold", "true");
            Waiting.until(
                    "an instance has permits withdrawn",
                    () ->
                            IntStream.range(0, LocalCluster.INSTANCES)
                                    .mapToObj(number -> cluster.instance(number).log())
                                    .anyMatch(log -> log.contains("event=permits_withdrawn")));
            Waiting.until(
                    "the cold engine runs no more than its limit",
                    () -> running(cluster, engine) <= COLD_LIMIT);
            assertThat("crashes while cold", crashes(cluster, engine), is(0));
            cluster.fault(engine, "cold", "false");
            answers.checkAllWhole();
        }
    }

    private static void start(LocalCluster cluster, String id, String domain) {
        String limit = Integer.toString(COLD_LIMIT);
        cluster.startEngine(id, domain, "--cold-millis", "0", "--cold-requests", limit);
    }

    private static int running(LocalCluster cluster, String engine) {
        return requests(cluster, engine).json().path("requests").size();
    }

    private static int crashes(LocalCluster cluster, String engine) {
        return Caller.askStandin(cluster.upstreamUrl(engine) + "/standin/v1/state", "")
                .json()
                .path("counts")
                .path("crashes")
                .asInt(-1);
    }

    private static Caller.Answer requests(LocalCluster cluster, String engine) {
        return Caller.askStandin(cluster.upstreamUrl(engine) + "/engine/v1/requests", "");
    }
}
