package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
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
    private static final int SOCKET_TIMEOUT_MILLIS = 30_000;

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

    /**
     * Guards against a request that is admitted during a planned stop, since its head came before
     * the stop and its body after it.
     */
    @Test
    void requestWhoseBodyEndsAfterTheStopBeganIsRejectedAtOnce() throws IOException {
        byte[] body =
                "{\"model\":\"quote-7b\",\"prompt\":\"%s\",\"max_tokens\":%d}"
                        .formatted(PROMPT, TOKENS)
                        .getBytes(StandardCharsets.UTF_8);
        String head =
                "POST /v1/completions HTTP/1.1\r\nHost: test\r\nContent-Type: application/json\r\n"
                        + "Authorization: Bearer %s\r\nKumquatweir-Profile: quick\r\n"
                                .formatted(LocalCluster.TEAM_KEY)
                        + "Content-Length: %d\r\n\r\n".formatted(body.length);
        int port = URI.create(sCluster.url(STOPPED)).getPort();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            OutputStream output = socket.getOutputStream();
            output.write(head.getBytes(StandardCharsets.US_ASCII));
            output.write(body, 0, 1);
            output.flush();
            // The head is read long before the signal comes.
            Waiting.during(Duration.ofMillis(300));
            sCluster.instance(STOPPED).beginTermination();
            Waiting.until(
                    "the instance stops",
                    () -> Caller.status(sCluster.url(STOPPED) + "/health/ready") == 503);
            output.write(body, 1, body.length - 1);
            output.flush();
            byte[] answer = socket.getInputStream().readNBytes("HTTP/1.1 503".length());
            assertThat(new String(answer, StandardCharsets.US_ASCII), is("HTTP/1.1 503"));
            String rest =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(rest, containsString("\"type\":\"draining\""));
            assertThat(rest, containsString("\"ran\":\"no\""));
        }
    }

    /**
     * Guards against a kept connection that stays open during the whole planned stop: its caller
     * comes back to it, and may meet its close at the end.
     */
    @Test
    void keptConnectionIsClosedAfterItsNextAnswer() throws IOException, InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        String url = sCluster.url(STOPPED);
        CompletableFuture<Caller.Streamed> running =
                Caller.streamLater(url, "quick", PROMPT, TOKENS, text -> begun.countDown());
        try (Socket kept =
                new Socket(InetAddress.getLoopbackAddress(), URI.create(url).getPort())) {
            kept.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            assertThat(begun.await(LIMIT_SECONDS, TimeUnit.SECONDS), is(true));
            sCluster.instance(STOPPED).beginTermination();
            Waiting.until("the instance stops", () -> Caller.status(url + "/health/ready") == 503);
            String request = "GET /health/live HTTP/1.1\r\nHost: test\r\n\r\n";
            kept.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            String answer =
                    new String(kept.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(answer, startsWith("HTTP/1.1 200"));
            assertThat(running.isDone(), is(false));
        }
        running.orTimeout(LIMIT_SECONDS, TimeUnit.SECONDS).join();
    }
}
