package dev.kumquatweir.gateway.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.CacheEvents;
import dev.kumquatweir.policy.registry.LoadReport;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

class UpstreamListenerTest {
    private static final String KEY = "announce-key-of-the-test";

    /** Guards against upstreams that go on talking to an instance the others can't hear. */
    @Test
    void refusesReportsOfAnInstanceWithoutLease() throws Exception {
        assertThat(leave(true, KEY), is(200));
        assertThat(leave(false, KEY), is(503));
    }

    /** Guards against strangers that take upstreams out of the registry. */
    @Test
    void refusesStrangers() throws Exception {
        assertThat(leave(true, "another-key"), is(401));
    }

    private static int leave(boolean inTouch, String key) throws Exception {
        UpstreamListener listener = new UpstreamListener(KEY, new Nowhere(), () -> inTouch);
        HttpServerContext server =
                HttpServers.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .listenStreamingAndAwait(listener);
        try (HttpClient client = HttpClient.newHttpClient()) {
            int port = ((InetSocketAddress) server.listenAddress()).getPort();
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create("http://127.0.0.1:" + port + "/upstream/v1/leave"))
                            .header("Authorization", "Bearer " + key)
                            .POST(
                                    HttpRequest.BodyPublishers.ofString(
                                            "{\"id\":\"engine-1\",\"incarnation\":1}"))
                            .build();
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } finally {
            server.close();
        }
    }

    /** An intake that keeps nothing. */
    private static final class Nowhere implements UpstreamIntake {
        @Override
        public void announced(Announcement announcement) {}

        @Override
        public CompletionStage<Boolean> reported(LoadReport report) {
            return CompletableFuture.completedFuture(true);
        }

        @Override
        public CompletionStage<Boolean> cacheChanged(CacheEvents events) {
            return CompletableFuture.completedFuture(true);
        }

        @Override
        public void left(UpstreamId upstream, long incarnation) {}
    }
}
