package dev.kumquatweir.gateway.upstream;

import static io.servicetalk.http.netty.HttpProtocolConfigs.h1;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.ListenableAsyncCloseable;
import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpLoadBalancerFactory;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.netty.DefaultHttpLoadBalancerFactory;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.loadbalancer.RoundRobinLoadBalancers;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import java.net.InetSocketAddress;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * HTTP clients of upstreams, one for each address. The library's retries are off: whether a request
 * is sent again is decided by the policy alone. Thread-safe.
 */
public final class UpstreamClients {
    private static final int CONNECT_LIMIT_MILLIS = 1_000;

    private final IoExecutor mExecutor;
    private final Counter mUnsolicitedResponses;
    private final ConcurrentMap<String, StreamingHttpClient> mClients = new ConcurrentHashMap<>();

    /**
     * @param executor runs the connections; closed by its owner
     * @param metrics gets the counter of unsolicited responses
     */
    public UpstreamClients(IoExecutor executor, MetricRegistry metrics) {
        mExecutor = executor;
        mUnsolicitedResponses = metrics.counter("kumquatweir_upstream_unsolicited_responses");
    }

    /** Returns what runs the connections. */
    public IoExecutor executor() {
        return mExecutor;
    }

    /** Returns the client of an address such as {@code 127.0.0.1:8000}. */
    public StreamingHttpClient of(String address) {
        return mClients.computeIfAbsent(address, this::newClient);
    }

    /** Returns a client whose connections are shared with nothing else; its owner closes it. */
    public StreamingHttpClient newClient(String address) {
        return newClient(address, CONNECT_LIMIT_MILLIS);
    }

    /** Connects to an address and closes the connection; fails if that takes too long. */
    public Completable connect(String address, int limitMillis) {
        StreamingHttpClient client = newClient(address, limitMillis);
        return client.reserveConnection(client.get("/"))
                .flatMapCompletable(ListenableAsyncCloseable::closeAsync)
                .whenFinally(() -> client.closeAsync().subscribe());
    }

    private StreamingHttpClient newClient(String address, int connectLimitMillis) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress resolved =
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)));
        return HttpClients.forResolvedAddress(resolved)
                .ioExecutor(mExecutor)
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .protocols(h1().maxPipelinedRequests(1).build())
                .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, connectLimitMillis)
                .appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries())
                .appendConnectionFilter(new UnframedResponseFilter())
                .appendConnectionFilter(new ResponseLimitFilter())
                .appendConnectionFilter(new UnsolicitedBytesFilter(mUnsolicitedResponses))
                .loadBalancerFactory(connectionsOfOneHost())
                .buildStreaming();
    }

    /**
     * Returns the library's connection handling without its health check: after five failed
     * connects that refuses all requests for seconds, also when the upstream is back at once.
     */
    private static HttpLoadBalancerFactory<InetSocketAddress> connectionsOfOneHost() {
        return DefaultHttpLoadBalancerFactory.Builder.<InetSocketAddress>from(
                        RoundRobinLoadBalancers
                                .<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection>
                                        builder("upstream")
                                .healthCheckFailedConnectionsThreshold(-1)
                                .build())
                .build();
    }

    /**
     * Gives up the idle connections of an address, because one of them went silent and the others
     * may have lost their way too. Running requests keep theirs.
     */
    public void replace(String address) {
        StreamingHttpClient doubtful = mClients.remove(address);
        if (doubtful != null) {
            doubtful.closeAsyncGracefully().subscribe();
        }
    }

    /** Closes all clients at once. */
    public void close() {
        mClients.values().forEach(client -> client.closeAsync().subscribe());
        mClients.clear();
    }
}
