package dev.kumquatweir.gateway.forward;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.CallerLimits;
import dev.kumquatweir.core.routing.Repeatability;
import dev.kumquatweir.core.routing.Route;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.ServiceShare;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.http.BodyMemory;
import dev.kumquatweir.gateway.http.ConnectionGuard;
import dev.kumquatweir.gateway.http.ConnectionLimits;
import dev.kumquatweir.gateway.http.ServerConnections;
import dev.kumquatweir.gateway.raw.RawCaller;
import dev.kumquatweir.gateway.raw.RawUpstream;
import dev.kumquatweir.gateway.upstream.UpstreamClients;
import dev.kumquatweir.policy.placement.LimitNotice;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementGrant;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import dev.kumquatweir.policy.placement.PlacementRefusal;
import dev.kumquatweir.policy.placement.PlacementRequest;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * A forwarding server with real connections on both sides. The first send of each request goes to
 * one upstream, further ones to a second upstream.
 */
final class ForwardingHarness implements AutoCloseable {
    static final String ONCE = "/once/";
    static final String IDEMPOTENT = "/idempotent/";
    static final String STREAM_ONCE = "/stream-once/";
    static final String RESUMABLE = "/resumable/";

    private static final String HOST = "callers.test";
    private static final ServiceName SERVICE = new ServiceName("service");
    private static final long BODY_LIMIT_BYTES = 8L << 20;
    private static final long REQUEST_MEMORY_BYTES = 16L << 20;
    private static final long RESPONSE_MEMORY_BYTES = 16L << 20;
    private static final int MAXIMUM_UPSTREAMS = 2;
    private static final long CLOSE_SECONDS = 30;

    private final IoExecutor mExecutor = NettyIoExecutors.createIoExecutor(1, "test");
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final UpstreamClients mClients = new UpstreamClients(mExecutor, mMetrics);
    private final BodyMemory mRequestMemory = new BodyMemory(REQUEST_MEMORY_BYTES);
    private final GrantInTurn mPlacement;
    private final RawUpstream mFirst;
    private final RawUpstream mSecond;
    private final ReachMonitor mReach;
    private final ExchangeRegistry mExchanges;
    private final ServerConnections mConnections;
    private final HttpServerContext mServer;

    /**
     * @param first script of the upstream that gets each request first
     * @param second script of the upstream that gets the requests that are sent again
     */
    ForwardingHarness(
            Function<RawUpstream.Received, RawUpstream.Answer> first,
            Function<RawUpstream.Received, RawUpstream.Answer> second)
            throws Exception {
        this(first, second, List.of());
    }

    /**
     * @param carriers caller addresses of other instances
     */
    ForwardingHarness(
            Function<RawUpstream.Received, RawUpstream.Answer> first,
            Function<RawUpstream.Received, RawUpstream.Answer> second,
            List<String> carriers)
            throws Exception {
        mFirst = new RawUpstream(first);
        mSecond = new RawUpstream(second);
        mPlacement = new GrantInTurn(mFirst.address(), mSecond.address());
        List<UpstreamStatus> upstreams =
                List.of(status("first", mFirst.address()), status("second", mSecond.address()));
        ForwardingState state = new FixedState(upstreams, carriers);
        mReach = new ReachMonitor(state, mClients, Clocks.system());
        ForwardingPorts ports =
                new ForwardingPorts(
                        state,
                        mPlacement,
                        new NoReservations(),
                        new PlainDialect(),
                        mClients,
                        mReach,
                        mRequestMemory,
                        new BodyMemory(RESPONSE_MEMORY_BYTES),
                        Clocks.system());
        mExchanges = new ExchangeRegistry(ports, new MetricRegistry(), mExecutor);
        mExecutor.execute(mExchanges::start);
        mConnections =
                new ServerConnections(
                        "callers",
                        Clocks.system(),
                        mExecutor,
                        new ConnectionGuard(
                                        ConnectionLimits.DEFAULTS,
                                        8 << 20,
                                        mMetrics,
                                        Clocks.system())
                                .group("callers", 1_000));
        mServer =
                HttpServers.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .ioExecutor(mExecutor)
                        .executionStrategy(HttpExecutionStrategies.offloadNone())
                        .appendLateConnectionAcceptor(mConnections.acceptor())
                        .listenStreamingAndAwait(
                                mConnections.track(new ForwardingServer(mExchanges)));
    }

    private static UpstreamStatus status(String id, String address) {
        return new UpstreamStatus(
                new UpstreamId(id),
                1,
                SERVICE,
                address,
                new FailureDomain("domain"),
                1,
                UpstreamPhase.READY,
                0,
                1);
    }

    /** Lets the upstreams refuse connections from now on, as if no path led to them. */
    void cutOffFromUpstreams() throws IOException {
        mFirst.close();
        mSecond.close();
    }

    /** Returns whether the instance knows that it reaches no upstream. */
    boolean cutOff() {
        return mReach.cutOff();
    }

    /** Returns the address on which callers are served. */
    String callerAddress() {
        InetSocketAddress address = (InetSocketAddress) mServer.listenAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Sends a request without a body; the id tells the requests of a test apart. */
    RawCaller.Response call(String route, String requestId) throws IOException {
        return call(route, requestId, "", "");
    }

    /**
     * Sends a request.
     *
     * @param headers further header lines, each with its line end
     */
    RawCaller.Response call(String route, String requestId, String headers, String body)
            throws IOException {
        return send("POST " + route + " HTTP/1.1\r\n", requestId, headers, body);
    }

    /** Sends a request without a body and reads nothing of the answer for a time. */
    RawCaller.Response callSlowly(String route, String requestId, long pauseMillis)
            throws IOException, InterruptedException {
        return RawCaller.callSlowly(
                (InetSocketAddress) mServer.listenAddress(),
                encode("POST " + route + " HTTP/1.1\r\n", requestId, "", ""),
                pauseMillis);
    }

    /** Sends a request with the given request line. */
    RawCaller.Response send(String requestLine, String requestId, String headers, String body)
            throws IOException {
        return RawCaller.call(
                (InetSocketAddress) mServer.listenAddress(),
                encode(requestLine, requestId, headers, body));
    }

    /** Returns the bytes of a request without a body. */
    static String request(String route, String requestId) {
        return encode("POST " + route + " HTTP/1.1\r\n", requestId, "", "");
    }

    /** Opens a connection, as the caller's side. */
    Socket connect() {
        try {
            InetSocketAddress address = (InetSocketAddress) mServer.listenAddress();
            return new Socket(address.getAddress(), address.getPort());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Keeps the I/O thread from everything else for the given time. */
    void holdIoThread(long millis) {
        mExecutor.execute(() -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis)));
    }

    /** Begins the close of all connections at the end of a planned stop. */
    void beginClose() {
        long latestNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(CLOSE_SECONDS);
        Future<?> _ = mConnections.close(mServer, latestNanos);
    }

    private static String encode(
            String requestLine, String requestId, String headers, String body) {
        return requestLine
                + "Host: "
                + HOST
                + "\r\n"
                + PlainDialect.REQUEST_ID
                + ": "
                + requestId
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n"
                + headers
                + "\r\n"
                + body;
    }

    /** Returns the number of requests that have not ended. */
    int runningRequests() {
        return mExchanges.runningCount();
    }

    /** Rejects all further placements but the first of each request. */
    void rejectRetries() {
        mPlacement.mRejectsRetries = true;
    }

    /** Never decides on further placements but the first of each request. */
    void holdRetries() {
        mPlacement.mHoldsRetries = true;
    }

    /** Returns the placements that were requested, in order. */
    List<PlacementRequest> placements() {
        return List.copyOf(mPlacement.mRequests);
    }

    /** Returns the number of silences that were reported to the scheduler. */
    int silences() {
        return mPlacement.mSilences.size();
    }

    /** Returns the number of connections that were closed for bytes that belong to no request. */
    long unsolicitedResponses() {
        return mMetrics.counter("kumquatweir_upstream_unsolicited_responses").getCount();
    }

    /** Returns the memory reserved for bodies of requests. */
    long requestBytes() {
        return mRequestMemory.usedBytes();
    }

    RawUpstream first() {
        return mFirst;
    }

    RawUpstream second() {
        return mSecond;
    }

    /** Returns the id of a request. */
    static String requestId(RawUpstream.Received received) {
        return received.header(PlainDialect.REQUEST_ID).orElse("");
    }

    /** Returns the requests that an upstream got, by their ids. */
    static Map<String, List<RawUpstream.Received>> requestsById(RawUpstream upstream) {
        return upstream.requests().stream()
                .collect(Collectors.groupingBy(ForwardingHarness::requestId));
    }

    @Override
    public void close() throws Exception {
        mExchanges.stop();
        mFirst.close();
        mSecond.close();
        mServer.closeAsync().toFuture().get();
        mClients.close();
        mExecutor.closeAsync().toFuture().get();
    }

    private static RoutingTable routing() {
        return new RoutingTable(
                1,
                List.of(
                        route(ONCE, Repeatability.ONCE, false),
                        route(IDEMPOTENT, Repeatability.IDEMPOTENT, false),
                        route(STREAM_ONCE, Repeatability.ONCE, true),
                        route(RESUMABLE, Repeatability.RESUMABLE, true)),
                List.of(new RoutedService(SERVICE, 0, Optional.empty())),
                List.of(),
                new CallerLimits(BODY_LIMIT_BYTES));
    }

    private static Route route(String prefix, Repeatability repeatability, boolean streaming) {
        return Route.builder(prefix, HOST, prefix)
                .shares(List.of(new ServiceShare(SERVICE, 1)))
                .execution(repeatability, streaming)
                .limits(0, MAXIMUM_UPSTREAMS)
                .build();
    }

    /** Grants the first upstream for the first placement of a request, then the second. */
    private static final class GrantInTurn implements PlacementPort {
        private final String mFirstAddress;
        private final String mSecondAddress;
        private final AtomicLong mNumbers = new AtomicLong();
        private final List<PlacementKey> mSilences = new CopyOnWriteArrayList<>();
        private final List<PlacementRequest> mRequests = new CopyOnWriteArrayList<>();
        private volatile boolean mRejectsRetries;
        private volatile boolean mHoldsRetries;

        GrantInTurn(String firstAddress, String secondAddress) {
            mFirstAddress = firstAddress;
            mSecondAddress = secondAddress;
        }

        @Override
        public PlacementKey newKey() {
            return new PlacementKey(new InstanceId("instance"), mNumbers.incrementAndGet());
        }

        @Override
        public void submit(PlacementRequest request, Consumer<PlacementAction> onDecision) {
            mRequests.add(request);
            PlacementKey key = request.key();
            boolean again = request.retry() || request.excluded().contains(new UpstreamId("first"));
            if (again && mHoldsRetries) {
                return;
            }
            if (again && mRejectsRetries) {
                onDecision.accept(
                        new PlacementAction.Reject(key, PlacementRefusal.REPEAT_BUDGET, 0));
                return;
            }
            UpstreamId upstream = new UpstreamId(again ? "second" : "first");
            String address = again ? mSecondAddress : mFirstAddress;
            onDecision.accept(
                    new PlacementAction.Grant(
                            key, new PlacementGrant(upstream, address, 0, List.of())));
        }

        @Override
        public void withdraw(PlacementKey key) {}

        @Override
        public void recordFirstEvent(PlacementKey key) {}

        @Override
        public void recordLateEvent(PlacementKey key, long gapMillis) {}

        @Override
        public void recordSilence(PlacementKey key) {
            mSilences.add(key);
        }

        @Override
        public void recordLimit(UpstreamId upstream, LimitNotice notice, long sentNanos) {}

        @Override
        public void ended(
                PlacementKey key, PlacementOutcome outcome, String culprit, long events) {}
    }

    /** A routing table that never changes; all upstreams accept requests. */
    private static final class FixedState implements ForwardingState {
        private final List<UpstreamStatus> mUpstreams;
        private final List<String> mCarriers;
        private final Optional<RoutingTable> mRouting = Optional.of(ForwardingHarness.routing());
        private final AvoidedUpstreams mAvoided = new AvoidedUpstreams();

        FixedState(List<UpstreamStatus> upstreams, List<String> carriers) {
            mUpstreams = upstreams;
            mCarriers = carriers;
        }

        @Override
        public Optional<RoutingTable> routing() {
            return mRouting;
        }

        @Override
        public List<UpstreamStatus> upstreams() {
            return mUpstreams;
        }

        @Override
        public List<String> carriers() {
            return mCarriers;
        }

        @Override
        public FailureDomain domain() {
            return new FailureDomain("domain");
        }

        @Override
        public boolean acceptsRequests(UpstreamId upstream) {
            return !mAvoided.avoids(upstream, 0, System.nanoTime());
        }

        @Override
        public void recordResponse(UpstreamId upstream, UpstreamResponseHead head, long nowNanos) {
            mAvoided.record(upstream, head, 0, nowNanos);
        }

        @Override
        public Set<UpstreamId> avoidedUpstreams(long nowNanos) {
            return mAvoided.avoided(upstream -> 0, nowNanos);
        }
    }
}
