package dev.kumquatweir.gateway.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.time.Clocks;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Sends requests with random changes, in random pieces. Guards against connections that hang, hold
 * memory after their end or make others fail. {@code -Dfuzz.rounds=100000} plays longer, {@code
 * -Dfuzz.seed=N} other rounds.
 */
final class RequestFuzzTest {
    private static final int ROUNDS = Integer.getInteger("fuzz.rounds", 300);
    private static final long SEED = Long.getLong("fuzz.seed", 20_261_206L);
    private static final int IDLE_MILLIS = 60_000;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final String ORDINARY =
            "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";
    private static final List<String> PARTS =
            List.of(
                    "GET / HTTP/1.1\r\n",
                    "POST /b HTTP/1.1\r\n",
                    "Host: a\r\n",
                    "Content-Length: 5\r\n",
                    "Content-Length: 99999999999999999999\r\n",
                    "Transfer-Encoding: chunked\r\n",
                    "Expect: 100-continue\r\n",
                    "Connection: close\r\n",
                    "\r\n",
                    "\r\n\r\n\r\n",
                    "5\r\nhello\r\n",
                    "5;extension=x\r\nhello\r\n",
                    "ffffffffffffffff1\r\n",
                    "0\r\n\r\n",
                    "0\r\nTrailer: x\r\n\r\n",
                    "hello",
                    "X-Filler: " + "f".repeat(3_000) + "\r\n",
                    "X-Filler: f\r\n".repeat(200),
                    "f".repeat(5_000),
                    ORDINARY,
                    ORDINARY.repeat(50));

    private final IoExecutor mExecutor = NettyIoExecutors.createIoExecutor(1, "fuzz");
    private final ConnectionGuard mGuard =
            new ConnectionGuard(
                    ConnectionLimits.builder()
                            .headBytes(16 << 10)
                            .headFields(100)
                            .pipelinedRequests(4)
                            .build(),
                    1 << 20,
                    new MetricRegistry(),
                    Clocks.system());
    private HttpListeners.HttpListener mListener;

    @BeforeEach
    void listen() throws Exception {
        mListener =
                new HttpListeners(mGuard, mExecutor, IDLE_MILLIS)
                        .listen(
                                "fuzz",
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                1_000,
                                RequestFuzzTest::answer);
    }

    @AfterEach
    void stop() {
        mListener.server().closeAsync().subscribe();
        mExecutor.closeAsync().subscribe();
    }

    @Test
    void randomBytesLeaveTheListenerInOrder() throws IOException {
        Random random = new Random(SEED);
        for (int round = 0; round < ROUNDS; round++) {
            byte[] bytes = draw(random);
            try (Socket socket = connect()) {
                send(socket, bytes, random);
            } catch (IOException closed) {
                // The listener may close the connection at any time.
            }
            assertThat("round " + round, ordinaryResponse(), startsWith("HTTP/1.1 200"));
        }
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (mGuard.openConnections() > 0 && System.nanoTime() < deadline) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
        }
        assertThat("connections that were not closed", mGuard.openConnections(), is(0));
        assertThat("bytes held", mGuard.usedBytes(), lessThanOrEqualTo(0L));
    }

    /** Guards against requests that are lost or reordered when they are held back. */
    @Test
    void pipelinedRequestsBeyondTheLimitAreAllAnswered() throws IOException {
        int requests = 500;
        try (Socket socket = connect()) {
            Thread.ofVirtual()
                    .start(
                            () -> {
                                try {
                                    socket.getOutputStream()
                                            .write(
                                                    ORDINARY.repeat(requests)
                                                            .getBytes(StandardCharsets.US_ASCII));
                                } catch (IOException closed) {
                                    // The test fails by the missing responses.
                                }
                            });
            StringBuilder received = new StringBuilder();
            byte[] block = new byte[4_096];
            while (received.toString().split("HTTP/1.1 200", -1).length <= requests) {
                int size = socket.getInputStream().read(block);
                assertThat("the connection stays open", size > 0, is(true));
                received.append(new String(block, 0, size, StandardCharsets.US_ASCII));
            }
        }
    }

    private static Single<StreamingHttpResponse> answer(
            HttpServiceContext context,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory responses) {
        return BodyCollector.collect(request.payloadBody(), 1 << 20)
                .flatMap(body -> new HttpResponses(context, responses).text(200, "text/plain", ""));
    }

    private static byte[] draw(Random random) {
        StringBuilder text = new StringBuilder();
        int count = 1 + random.nextInt(12);
        for (int number = 0; number < count; number++) {
            text.append(PARTS.get(random.nextInt(PARTS.size())));
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.US_ASCII);
        for (int change = random.nextInt(4); change > 0; change--) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }
        return bytes;
    }

    private static void send(Socket socket, byte[] bytes, Random random) throws IOException {
        int sent = 0;
        while (sent < bytes.length) {
            int size = Math.min(bytes.length - sent, 1 + random.nextInt(8_000));
            socket.getOutputStream().write(bytes, sent, size);
            sent += size;
        }
    }

    private String ordinaryResponse() throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(ORDINARY.getBytes(StandardCharsets.US_ASCII));
            byte[] block = new byte[64];
            int size = socket.getInputStream().read(block);
            return size < 0 ? "" : new String(block, 0, size, StandardCharsets.US_ASCII);
        }
    }

    private Socket connect() throws IOException {
        InetSocketAddress address = (InetSocketAddress) mListener.server().listenAddress();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }
}
