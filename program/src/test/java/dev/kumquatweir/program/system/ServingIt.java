package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The whole path through separate processes. */
class ServingIt {
    @TempDir static Path sFolder;
    private static LocalCluster sCluster;

    @BeforeAll
    static void startCluster() {
        sCluster = LocalCluster.start(sFolder);
        sCluster.startEngine("engine-1", "klang-a");
        sCluster.startEngine("engine-2", "klang-b");
        sCluster.startEngine("engine-3", "klang-c");
        sCluster.startService("bookings-1", "klang-b");
        IntStream.range(0, LocalCluster.INSTANCES)
                .forEach(
                        instance ->
                                Waiting.until(
                                        "instance " + instance + " knows the upstreams",
                                        () -> serves(instance)));
    }

    @AfterAll
    static void stopCluster() {
        sCluster.close();
    }

    private static boolean serves(int instance) {
        String url = sCluster.url(instance);
        return Caller.complete(url, "quick", "ready?", 1).status() == 200
                && Caller.get(url + "/services/bookings/ready").status() == 200;
    }

    /** Guards against an instance that serves only the upstreams that talk to it. */
    @Test
    void everyInstanceStreamsWholeAnswers() {
        for (int instance = 0; instance < LocalCluster.INSTANCES; instance++) {
            String prompt = "How much fabric for two chairs? " + instance;
            Caller.Streamed answer =
                    Caller.stream(sCluster.url(instance), "quick", prompt, 40, text -> {});
            assertThat(answer.error(), equalTo(""));
            assertThat(answer.text(), equalTo(Caller.expected(prompt, 40)));
            assertThat(answer.complete(), is(true));
        }
    }

    /** Guards against a long prompt being cut by a body, queue or silence limit. */
    @Test
    void longDossierCompletes() {
        String prompt = "Lobby, floor by floor. ".repeat(20_000);
        Caller.Streamed answer = Caller.stream(sCluster.url(1), "dossier", prompt, 200, text -> {});
        assertThat(answer.error(), equalTo(""));
        assertThat(answer.text(), equalTo(Caller.expected(prompt, 200)));
    }

    /** Guards against tokens lost or doubled when an engine dies in the middle of an answer. */
    @Test
    void answerIsWholeAlthoughItsEngineDies() throws InterruptedException {
        sCluster.startEngine("engine-doomed", "klang-a", "--time-scale", "0.5");
        CountDownLatch begun = new CountDownLatch(12);
        CompletableFuture<?>[] answers =
                IntStream.range(0, 12)
                        .mapToObj(
                                number ->
                                        Caller.streamLater(
                                                        sCluster.url(number % 4),
                                                        "quick",
                                                        "seat " + number,
                                                        120,
                                                        text -> begun.countDown())
                                                .thenAccept(answer -> checkWhole(answer, number)))
                        .toArray(CompletableFuture[]::new);
        assertThat(begun.await(90, TimeUnit.SECONDS), is(true));
        sCluster.upstream("engine-doomed").kill();
        CompletableFuture.allOf(answers).orTimeout(120, TimeUnit.SECONDS).join();
    }

    private static void checkWhole(Caller.Streamed answer, int number) {
        assertThat(answer.error(), equalTo(""));
        assertThat(answer.text(), equalTo(Caller.expected("seat " + number, 120)));
        assertThat(answer.complete(), is(true));
    }
}
