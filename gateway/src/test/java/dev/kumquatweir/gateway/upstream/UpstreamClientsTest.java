package dev.kumquatweir.gateway.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.Test;

final class UpstreamClientsTest {
    /** More failed connects than after which the library stops trying by default. */
    private static final int FAILED_CONNECTS = 8;

    /**
     * Guards against an upstream that is back but gets no request, since connects failed before.
     */
    @Test
    void upstreamThatIsBackIsReachedAtOnce() throws Exception {
        int port = freePort();
        IoExecutor executor = NettyIoExecutors.createIoExecutor(1, "test");
        UpstreamClients clients = new UpstreamClients(executor, new MetricRegistry());
        StreamingHttpClient client = clients.of("127.0.0.1:" + port);
        for (int number = 0; number < FAILED_CONNECTS; number++) {
            assertThrows(ExecutionException.class, () -> ask(client).toFuture().get());
        }
        try (HttpServerContext server =
                HttpServers.forAddress(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                        .listenStreamingAndAwait(
                                (context, request, responses) ->
                                        Single.succeeded(responses.ok()))) {
            assertThat(ask(client).toFuture().get().status().code(), is(200));
        } finally {
            clients.close();
            executor.closeAsync().toFuture().get();
        }
    }

    private static Single<StreamingHttpResponse> ask(StreamingHttpClient client) {
        return client.request(client.get("/"));
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
