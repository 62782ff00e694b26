package dev.kumquatweir.standin;

import dev.kumquatweir.core.event.EventLog;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.HttpServers;
import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/** A server that can be broken off and listen again on the same port. Thread-safe. */
final class RestartableServer {
    private static final EventLog LOG = EventLog.of(RestartableServer.class);

    private final StreamingHttpService mService;
    private InetSocketAddress mAddress;
    private @Nullable HttpServerContext mServer;

    RestartableServer(InetSocketAddress address, StreamingHttpService service) {
        mAddress = address;
        mService = service;
    }

    /** Listens; port 0 is replaced by the port taken, also for later starts. */
    synchronized void listen() throws Exception {
        HttpServerContext server =
                HttpServers.forAddress(mAddress)
                        .executionStrategy(HttpExecutionStrategies.offloadNone())
                        .listenStreamingAndAwait(mService);
        mServer = server;
        mAddress = (InetSocketAddress) server.listenAddress();
    }

    /** Returns whether the server listens now; a port still in use is no fault. */
    boolean tryListen() {
        try {
            listen();
            return true;
        } catch (Exception exception) {
            LOG.warn("listen_failed", "address", address(), "failure", exception);
            return false;
        }
    }

    synchronized InetSocketAddress address() {
        return mAddress;
    }

    /** Closes the port and all connections without waiting for their requests. */
    synchronized void breakOff() {
        if (mServer != null) {
            mServer.closeAsync().subscribe();
            mServer = null;
        }
    }
}
