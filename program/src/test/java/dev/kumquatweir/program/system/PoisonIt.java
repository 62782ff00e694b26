package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A prompt that crashes each engine which runs it, beside streams of innocent prompts. */
class PoisonIt {
    private static final List<String> ENGINES =
            List.of("engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6");
    private static final List<String> DOMAINS = List.of("klang-a", "klang-b", "klang-c");
    private static final String POISON = "a poisonous prompt";
    private static final int STREAMS = 12;
    private static final int TOKENS = 300;

    @TempDir Path mFolder;

    /**
     * Guards against a prompt that crashes one engine after the other, also when its caller sends
     * it again through each instance, and against neighbours that are refused or cut for it.
     */
    @Test
    void killsTwoEnginesAtMost() throws InterruptedException {
        try (LocalCluster cluster = LocalCluster.start(mFolder)) {
            for (int number = 0; number < ENGINES.size(); number++) {
                cluster.startEngine(ENGINES.get(number), DOMAINS.get(number % DOMAINS.size()));
            }
            ENGINES.forEach(
                    engine ->
                            Waiting.until(engine + " answers", () -> state(cluster, engine) >= 0));
            cluster.awaitEngines();
            ENGINES.forEach(engine -> cluster.fault(engine, "crash_on", "\"poisonous\""));
            StreamedAnswers innocent = StreamedAnswers.start(cluster, "innocent", STREAMS, TOKENS);
            Caller.Answer first = Caller.complete(cluster.url(0), "quick", POISON, 10);
            assertThat("crashes", crashes(cluster), lessThanOrEqualTo(2));
            assertThat(first.toString(), first.type(), is("quarantined"));
            int before = crashes(cluster);
            for (int instance = 0; instance < LocalCluster.INSTANCES; instance++) {
                Caller.Answer again = Caller.complete(cluster.url(instance), "quick", POISON, 10);
                assertThat(again.toString(), again.type(), is("quarantined"));
            }
            assertThat("crashes", crashes(cluster), is(before));
            innocent.checkAllWhole();
        }
    }

    private static int crashes(LocalCluster cluster) {
        return ENGINES.stream().mapToInt(engine -> state(cluster, engine)).sum();
    }

    /** Returns how often an engine crashed, asked again until it answers. */
    private static int state(LocalCluster cluster, String engine) {
        int[] crashes = {-1};
        Waiting.until(
                engine + " tells its state",
                () -> {
                    Caller.Answer answer =
                            Caller.askStandin(
                                    cluster.upstreamUrl(engine) + "/standin/v1/state", "");
                    if (answer.status() == 200) {
                        crashes[0] = answer.json().path("counts").path("crashes").asInt();
                    }
                    return crashes[0] >= 0;
                });
        return crashes[0];
    }
}
