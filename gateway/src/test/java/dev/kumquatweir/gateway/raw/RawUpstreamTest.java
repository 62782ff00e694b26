package dev.kumquatweir.gateway.raw;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RawUpstreamTest {
    private static final int TIMEOUT_MILLIS = 2_000;

    // Guards against an upstream that goes on answering after its end on a busy machine: tests then
    // take it for reachable.
    @Test
    void connectionThatComesAfterTheCloseIsNotServed() throws Exception {
        RawUpstream upstream =
                new RawUpstream(
                        _ ->
                                new Answer(
                                        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
                                        Ending.KEEP_OPEN));
        String address = upstream.address();
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        // The upstream waits in accept once it has served a connection.
        assertThat(isAnswered(new Socket(InetAddress.getLoopbackAddress(), port)), is(true));
        AtomicBoolean released = new AtomicBoolean();
        delayVirtualThreads(released);
        upstream.close();
        Optional<Socket> late = connect(port);
        released.set(true);
        // Without a connection the listener was closed at once, and nothing is left to serve.
        if (late.isPresent()) {
            assertThat(isAnswered(late.get()), is(false));
        }
    }

    private static Optional<Socket> connect(int port) throws IOException {
        try {
            return Optional.of(new Socket(InetAddress.getLoopbackAddress(), port));
        } catch (ConnectException refused) {
            return Optional.empty();
        }
    }

    /** Occupies all threads that run virtual threads. */
    private static void delayVirtualThreads(AtomicBoolean released) throws InterruptedException {
        int threads = Runtime.getRuntime().availableProcessors();
        CountDownLatch running = new CountDownLatch(threads);
        IntStream.range(0, threads)
                .forEach(
                        _ ->
                                Thread.ofVirtual()
                                        .start(
                                                () -> {
                                                    running.countDown();
                                                    while (!released.get()) {
                                                        Thread.onSpinWait();
                                                    }
                                                }));
        running.await();
    }

    private static boolean isAnswered(Socket socket) throws IOException {
        try (socket) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            byte[] request = "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            socket.getOutputStream().write(request);
            return socket.getInputStream().read() >= 0;
        } catch (SocketException reset) {
            return false;
        }
    }
}
