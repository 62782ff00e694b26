package dev.kumquatweir.gateway.http;

import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;

/** Opens the HTTP listeners of a process, all with the same limits. Thread-safe. */
public final class HttpListeners {
    /** Largest header field and request line; the limits of a whole head are higher. */
    private static final int MAXIMUM_LINE_BYTES = 64 << 10;

    private final ConnectionGuard mGuard;
    private final IoExecutor mExecutor;
    private final long mIdleMillis;

    /**
     * @param executor the I/O threads
     * @param idleMillis time after which a connection without traffic is closed
     */
    public HttpListeners(ConnectionGuard guard, IoExecutor executor, long idleMillis) {
        mGuard = guard;
        mExecutor = executor;
        mIdleMillis = idleMillis;
    }

    /**
     * Listens on an address.
     *
     * @param name name of the listener in the log
     * @param maximumConnections connections above which those without a request are closed
     * @throws Exception if the address can't be listened on
     */
    public HttpListener listen(
            String name,
            InetSocketAddress address,
            int maximumConnections,
            StreamingHttpService service)
            throws Exception {
        ServerConnections connections =
                new ServerConnections(
                        name, mGuard.clocks(), mExecutor, mGuard.group(name, maximumConnections));
        HttpServerContext server =
                HttpServers.forAddress(address)
                        .ioExecutor(mExecutor)
                        .executionStrategy(HttpExecutionStrategies.offloadNone())
                        .protocols(
                                HttpProtocolConfigs.h1()
                                        .maxHeaderFieldLength(MAXIMUM_LINE_BYTES)
                                        .maxStartLineLength(MAXIMUM_LINE_BYTES)
                                        .build())
                        .socketOption(ServiceTalkSocketOptions.IDLE_TIMEOUT, mIdleMillis)
                        .appendLateConnectionAcceptor(connections.acceptor())
                        .listenStreamingAndAwait(connections.track(service));
        return new HttpListener(server, connections);
    }

    /** A listening socket and its connections. */
    public record HttpListener(HttpServerContext server, ServerConnections connections) {
        /** See {@link ServerConnections#close}. */
        public Future<?> close(long latestNanos) {
            return connections.close(server, latestNanos);
        }
    }
}
