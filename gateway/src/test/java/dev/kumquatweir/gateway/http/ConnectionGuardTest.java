package dev.kumquatweir.gateway.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
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
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Limits of accepted connections, with real sockets and short times. */
final class ConnectionGuardTest {
    private static final int MAXIMUM_CONNECTIONS = 4;
    private static final int LARGE_BYTES = 12 << 20;
    private static final String ORDINARY = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final String BODY = "x".repeat(LARGE_BYTES);

    private final IoExecutor mExecutor = NettyIoExecutors.createIoExecutor(1, "guard");
    private final MetricRegistry mMetrics = new MetricRegistry();
    private HttpListeners.HttpListener mListener;

    @BeforeEach
    void listen() throws Exception {
        ConnectionLimits limits =
                ConnectionLimits.builder()
                        .headBytes(16 << 10)
                        .headMillis(1_000)
                        .bodyStallMillis(1_000)
                        .unreadMillis(2_000)
                        .build();
        ConnectionGuard guard = new ConnectionGuard(limits, 1 << 20, mMetrics, Clocks.system());
        mListener =
                new HttpListeners(guard, mExecutor, 60_000)
                        .listen(
                                "guard",
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                MAXIMUM_CONNECTIONS,
                                ConnectionGuardTest::answer);
    }

    @AfterEach
    void stop() {
        mListener.server().closeAsync().subscribe();
        mExecutor.closeAsync().subscribe();
    }

    /** Guards against heads that are never completed and hold their connections. */
    @Test
    void incompleteHeadIsAnswered408() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "GET /a HTTP/1.1\r\nHost: ");
            assertThat(readAll(socket), startsWith("HTTP/1.1 408 "));
        }
        assertThat(count("head_time"), is(1L));
    }

    /** Guards against a head that is decoded field by field until memory is used up. */
    @Test
    void headOverTheLimitClosesTheConnection() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "GET /a HTTP/1.1\r\n" + "X: 1234567890\r\n".repeat(1_000));
            // A reset may overtake the response.
            assertThat(readAll(socket).startsWith("HTTP/1.1 200"), is(false));
        }
        assertThat(count("head_fields"), is(1L));
    }

    /** Guards against a limit that a caller inside the platform's limits reaches. */
    @Test
    void headOfTheOrdinaryLimitIsServed() throws IOException {
        String fields = ("X-Filler: " + "f".repeat(118) + "\r\n").repeat(115);
        try (Socket socket = connect()) {
            send(socket, "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + fields + "\r\n");
            assertThat(readAll(socket), startsWith("HTTP/1.1 200 "));
        }
    }

    /** Guards against a body that never comes and keeps its request. */
    @Test
    void stalledBodyClosesTheConnection() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
            assertThat(readAll(socket), is(""));
        }
        assertThat(count("body_stalled"), is(1L));
    }

    /** Guards against responses that nobody reads and that are kept for ever. */
    @Test
    void unreadResponseClosesTheConnection() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (count("response_unread") == 0 && System.nanoTime() < deadline) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
            }
            assertThat(count("response_unread"), is(1L));
        }
    }

    /** Guards against a limit that cuts callers that read slowly but steadily. */
    @Test
    void slowReaderGetsTheWholeResponse() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            InputStream input = socket.getInputStream();
            byte[] block = new byte[1 << 20];
            long received = 0;
            for (int size = input.readNBytes(block, 0, block.length);
                    size > 0;
                    size = input.readNBytes(block, 0, block.length)) {
                received += size;
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(400));
            }
            assertThat(received > LARGE_BYTES, is(true));
        }
        assertThat(count("response_unread"), is(0L));
    }

    /** Guards against connections without a request that keep callers from connecting. */
    @Test
    void connectionsWithoutHeadGiveWay() throws IOException {
        Socket[] silent = new Socket[MAXIMUM_CONNECTIONS];
        for (int number = 0; number < silent.length; number++) {
            silent[number] = connect();
        }
        try (Socket caller = connect()) {
            send(caller, ORDINARY);
            byte[] start = caller.getInputStream().readNBytes(12);
            assertThat(new String(start, StandardCharsets.US_ASCII), is("HTTP/1.1 200"));
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
        assertThat(count("descriptors"), is(1L));
    }

    private long count(String cause) {
        return mMetrics.counter("kumquatweir_connection_limit_" + cause).getCount();
    }

    private static Single<StreamingHttpResponse> answer(
            HttpServiceContext context,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory responses) {
        String text = request.path().equals("/large") ? BODY : "";
        return BodyCollector.collect(request.payloadBody(), 1 << 20)
                .flatMap(
                        body ->
                                new HttpResponses(context, responses)
                                        .text(200, "text/plain", text));
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns what comes before the end or a reset of the connection. */
    private static String readAll(Socket socket) throws IOException {
        StringBuilder received = new StringBuilder();
        try {
            for (int next = socket.getInputStream().read();
                    next >= 0;
                    next = socket.getInputStream().read()) {
                received.append((char) next);
            }
        } catch (SocketException reset) {
            // The end of what the listener sends.
        }
        return received.toString();
    }

    private Socket connect() throws IOException {
        InetSocketAddress address = (InetSocketAddress) mListener.server().listenAddress();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(20_000);
        return socket;
    }
}
