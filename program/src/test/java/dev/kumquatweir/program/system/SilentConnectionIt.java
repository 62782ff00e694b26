package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Open connections to an engine go silent for ever while new ones work. */
class SilentConnectionIt {
    private static final int IDLE_CONNECTIONS = 12;
    private static final int STREAMS = 3;
    private static final int TOKENS = 150;
    @TempDir static Path sFolder;
    private static LocalCluster sCluster;

    @BeforeAll
    static void startCluster() {
        sCluster = LocalCluster.start(sFolder);
        sCluster.startEngine("engine-1", "klang-a", "--time-scale", "0.5");
        Waiting.until(
                "instance 0 serves",
                () -> Caller.complete(sCluster.url(0), "quick", "ready?", 1).status() == 200);
    }

    @AfterAll
    static void stopCluster() {
        sCluster.close();
    }

    /**
     * Guards against retries that go from one dead idle connection to the next until they are given
     * up: with one engine, only new connections can bring the rest of the answers.
     */
    @Test
    void streamsGoOnOverNewConnections() throws InterruptedException {
        streams("idle", IDLE_CONNECTIONS, 40, new CountDownLatch(0)).forEach(this::join);
        CountDownLatch begun = new CountDownLatch(STREAMS * 10);
        List<CompletableFuture<Void>> answers = streams("seat", STREAMS, TOKENS, begun);
        assertThat(begun.await(90, TimeUnit.SECONDS), is(true));
        String fault = sCluster.upstreamUrl("engine-1") + "/standin/v1/fault";
        assertThat(Caller.post(fault, "", "{\"fault\":\"silent\"}").status(), equalTo(200));
        answers.forEach(this::join);
        Waiting.until("the engine holds no memory of the dead streams", () -> held() == 0);
    }

    private void join(CompletableFuture<Void> answer) {
        answer.orTimeout(150, TimeUnit.SECONDS).join();
    }

    private static int held() {
        String url = sCluster.upstreamUrl("engine-1") + "/engine/v1/requests";
        return Caller.get(url).json().path("requests").size();
    }

    private static List<CompletableFuture<Void>> streams(
            String name, int count, int tokens, CountDownLatch begun) {
        return IntStream.range(0, count)
                .mapToObj(number -> name + " " + number)
                .map(
                        prompt ->
                                Caller.streamLater(
                                                sCluster.url(0),
                                                "quick",
                                                prompt,
                                                tokens,
                                                text -> begun.countDown())
                                        .thenAccept(answer -> checkWhole(answer, prompt, tokens)))
                .toList();
    }

    private static void checkWhole(Caller.Streamed answer, String prompt, int tokens) {
        assertThat(answer.error(), equalTo(""));
        assertThat(answer.text(), equalTo(Caller.expected(prompt, tokens)));
        assertThat(answer.complete(), is(true));
    }
}
