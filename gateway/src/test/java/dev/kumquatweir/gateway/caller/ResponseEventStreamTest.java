package dev.kumquatweir.gateway.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.http.HttpResponses;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.netty.HttpServers;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Streams over real connections whose events are published by several threads in turn. */
class ResponseEventStreamTest {
    private static final int STREAMS = 2_000;
    private static final int PARALLEL = 64;
    private static final int EVENTS = 20;
    private static final int SOCKET_TIMEOUT_MS = 30_000;

    /** Guards against the last events of a stream that never reach the caller. */
    @Test
    void eachStreamReachesItsEnd() throws Exception {
        try (ExecutorService writers = Executors.newFixedThreadPool(PARALLEL);
                ExecutorService callers = Executors.newFixedThreadPool(PARALLEL)) {
            HttpServerContext server =
                    HttpServers.forAddress(
                                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                            .executionStrategy(HttpExecutionStrategies.offloadNone())
                            .listenStreamingAndAwait(
                                    (context, request, factory) ->
                                            respond(new HttpResponses(context, factory), writers));
            InetSocketAddress address = (InetSocketAddress) server.listenAddress();
            List<CompletableFuture<Boolean>> ends =
                    IntStream.range(0, STREAMS)
                            .mapToObj(
                                    number ->
                                            CompletableFuture.supplyAsync(
                                                    () -> reachesEnd(address), callers))
                            .toList();
            long lost = ends.stream().filter(end -> !end.join()).count();
            assertThat(lost, is(0L));
            server.closeAsync().toFuture().get();
        }
    }

    private static Single<StreamingHttpResponse> respond(
            HttpResponses responses, ExecutorService writers) {
        CompletableFuture<StreamingHttpResponse> response = new CompletableFuture<>();
        long nowNanos = System.nanoTime();
        ResponseEventStream stream = new ResponseEventStream(responses::buffer, () -> {}, nowNanos);
        writers.execute(
                () -> {
                    response.complete(responses.streamed("text/event-stream", stream.body()));
                    writeRest(stream, writers, 0);
                });
        return Single.fromStage(response);
    }

    private static void writeRest(ResponseEventStream stream, ExecutorService writers, int index) {
        if (index == EVENTS) {
            stream.complete(System.nanoTime());
            return;
        }
        stream.writeEvent("event " + index, System.nanoTime());
        if (index % 3 == 0) {
            writers.execute(() -> writeRest(stream, writers, index + 1));
        } else {
            writeRest(stream, writers, index + 1);
        }
    }

    private static boolean reachesEnd(InetSocketAddress address) {
        try (Socket socket = new Socket()) {
            socket.connect(address);
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            socket.getOutputStream()
                    .write(
                            "GET / HTTP/1.1\r\nhost: test\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            String line = reader.readLine();
            boolean done = false;
            while (line != null && !(done && line.equals("0"))) {
                done = done || line.equals("data: [DONE]");
                line = reader.readLine();
            }
            return line != null;
        } catch (IOException exception) {
            return false;
        }
    }
}
