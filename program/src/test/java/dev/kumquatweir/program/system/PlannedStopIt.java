package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Planned stops of an instance that end before its requests would. */
class PlannedStopIt {
    private static final int DRAIN_SECONDS = 2;
    private static final int STOPPED = 3;

    /** More than the engine writes in the time of a planned stop. */
    private static final int TOKENS = 2_000;

    private static final String PROMPT = "Describe the lobby";
    private static final long LIMIT_SECONDS = 60;

    @TempDir static Path sFolder;
    private static LocalCluster sCluster;

    @BeforeAll
    static void startCluster() {
        sCluster = LocalCluster.start(sFolder, DRAIN_SECONDS);
        sCluster.startEngine("engine-1", "klang-a", "--time-scale", "8");
        sCluster.awaitEngines();
    }

    @AfterAll
    static void stopCluster() {
        sCluster.close();
    }

    @AfterEach
    void startStoppedInstance() {
        sCluster.instance(STOPPED).awaitEnd();
        sCluster.startInstance(STOPPED);
        sCluster.awaitReady(STOPPED);
        sCluster.awaitEngines();
    }

    /**
     * Guards against requests that are cut without an answer when the time of a planned stop ends
     * before they do: their callers can't tell that from a crash.
     */
    @Test
    void requestsThatOutliveThePlannedStopGetAnError() throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        String url = sCluster.url(STOPPED);
        CompletableFuture<Caller.Streamed> streamed =
                Caller.streamLater(url, "quick", PROMPT, TOKENS, text -> begun.countDown());
        CompletableFuture<Caller.Answer> whole =
                CompletableFuture.supplyAsync(
                        () -> Caller.complete(url, "quick", PROMPT + " again", TOKENS),
                        task -> Thread.ofVirtual().start(task));
        assertThat(begun.await(LIMIT_SECONDS, TimeUnit.SECONDS), is(true));
        assertThat(sCluster.instance(STOPPED).terminate(), is(0));
        Caller.Streamed stream = streamed.orTimeout(LIMIT_SECONDS, TimeUnit.SECONDS).join();
        assertThat(stream.error(), containsString("\"type\":\"instance_stopped\""));
        assertThat(stream.error(), containsString("\"ran\":\"unknown\""));
        assertThat(stream.complete(), is(false));
        assertThat(Caller.expected(PROMPT, TOKENS), startsWith(stream.text()));
        Caller.Answer answer = whole.orTimeout(LIMIT_SECONDS, TimeUnit.SECONDS).join();
        assertThat(answer.status(), is(502));
        assertThat(answer.type(), is("instance_stopped"));
        assertThat(answer.ran(), is("unknown"));
    }
}
