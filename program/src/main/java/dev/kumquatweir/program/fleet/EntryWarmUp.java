package dev.kumquatweir.program.fleet;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.forward.ExchangeRegistry;
import dev.kumquatweir.gateway.forward.ForwardingPorts;
import dev.kumquatweir.gateway.forward.ForwardingServer;
import dev.kumquatweir.gateway.forward.ReachMonitor;
import dev.kumquatweir.gateway.http.BodyMemory;
import dev.kumquatweir.gateway.http.ConnectionGuard;
import dev.kumquatweir.gateway.http.ConnectionLimits;
import dev.kumquatweir.gateway.http.ServerConnections;
import dev.kumquatweir.gateway.upstream.UpstreamClients;
import dev.kumquatweir.platform.HttpDialect;
import dev.kumquatweir.platform.MemoryOrders;
import dev.kumquatweir.platform.WarmUpTraffic;
import dev.kumquatweir.policy.placement.PlacementLimits;
import dev.kumquatweir.policy.placement.PlacementScheduler;
import dev.kumquatweir.policy.placement.SchedulerFeatures;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.AsyncCloseable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.IoExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Forwards requests of its own to an upstream of its own, so that the classes of the request path
 * are initialized and its methods compiled before the first caller comes. On an instance with a
 * third of a core the first requests of a new process took 54 ms longer than later ones. Shares
 * nothing but the I/O thread with the requests of callers. Used once.
 */
final class EntryWarmUp {
    private static final EventLog LOG = EventLog.of(EntryWarmUp.class);
    private static final String NAME = "warm-up";
    private static final int MAXIMUM_CONNECTIONS = 64;
    static final int REQUESTS = 60;
    private static final int EVENTS = 12;
    private static final int PROMPT_TOKENS = 5_000;
    private static final int TOKENS_PER_EVENT = 48;
    private static final long BODY_MEMORY_BYTES = 1 << 20;

    /** After this time callers are served by code that is partly cold. */
    static final long MAXIMUM_MILLIS = 2_500;

    private final InstanceId mSelf;
    private final Clocks mClocks;
    private final IoExecutor mExecutor;
    private final long mUntilNanos;
    private final List<AsyncCloseable> mOpen = new ArrayList<>();
    private int mSent;
    private final AtomicInteger mAnswered = new AtomicInteger();
    private volatile boolean mDone;

    EntryWarmUp(InstanceId self, Clocks clocks, IoExecutor executor) {
        mSelf = self;
        mClocks = clocks;
        mExecutor = executor;
        mUntilNanos = clocks.nowNanos() + TimeUnit.MILLISECONDS.toNanos(MAXIMUM_MILLIS);
    }

    /** Returns whether the instance need not wait any longer; may be called from any thread. */
    boolean done() {
        return mDone || mClocks.nowNanos() - mUntilNanos >= 0;
    }

    /** Returns the number of requests that were answered. */
    int answeredCount() {
        return mAnswered.get();
    }

    /** Begins. Called on another thread than the I/O thread, since it waits for the listeners. */
    void start() {
        try {
            HttpServerContext upstream = listen(EntryWarmUp::respond);
            WarmUpState state = new WarmUpState(address(upstream));
            MetricRegistry metrics = new MetricRegistry();
            UpstreamClients clients = new UpstreamClients(mExecutor, metrics);
            ExchangeRegistry forwarding =
                    new ExchangeRegistry(ports(state, clients), metrics, mExecutor);
            ServerConnections connections =
                    new ServerConnections(
                            NAME,
                            mClocks,
                            mExecutor,
                            new ConnectionGuard(
                                            ConnectionLimits.DEFAULTS,
                                            BODY_MEMORY_BYTES,
                                            metrics,
                                            mClocks)
                                    .group(NAME, MAXIMUM_CONNECTIONS));
            HttpServerContext server = listen(connections.track(new ForwardingServer(forwarding)));
            StreamingHttpClient caller = clients.newClient(address(server));
            mOpen.add(caller);
            mExecutor.execute(forwarding::start);
            mExecutor.execute(() -> send(caller, () -> close(clients, forwarding)));
        } catch (Exception exception) {
            LOG.warn("warm_up_failed", "problem", String.valueOf(exception.getMessage()));
            mDone = true;
        }
    }

    private ForwardingPorts ports(WarmUpState state, UpstreamClients clients) {
        PlacementScheduler scheduler =
                new PlacementScheduler(
                        new PlacementLimits(1, REQUESTS, 1_000), SchedulerFeatures.NONE);
        EntryPlacement placement =
                new EntryPlacement(
                        mSelf,
                        SchedulerLink.unconnected(),
                        new QuarantineDirectory(),
                        scheduler,
                        mClocks,
                        mExecutor::execute);
        placement.setRouting(state.table(), Set.of());
        state.upstreams().forEach(status -> placement.updateUpstream(status, mClocks.nowNanos()));
        return new ForwardingPorts(
                state,
                placement,
                new MemoryOrders(clients),
                new HttpDialect(),
                clients,
                new ReachMonitor(state, clients, mClocks),
                new BodyMemory(BODY_MEMORY_BYTES),
                new BodyMemory(BODY_MEMORY_BYTES),
                mClocks);
    }

    private HttpServerContext listen(StreamingHttpService service) throws Exception {
        HttpServerContext server =
                HttpServers.forAddress(new InetSocketAddress(mSelf.value(), 0))
                        .ioExecutor(mExecutor)
                        .executionStrategy(HttpExecutionStrategies.offloadNone())
                        .listenStreamingAndAwait(service);
        mOpen.add(server);
        return server;
    }

    private static String address(HttpServerContext server) {
        InetSocketAddress address = (InetSocketAddress) server.listenAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Answers as an upstream does. */
    private static Single<StreamingHttpResponse> respond(
            HttpServiceContext context,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory responses) {
        BufferAllocator allocator = context.executionContext().bufferAllocator();
        boolean streamed = request.path().startsWith(WarmUpState.STREAM_PATH);
        Buffer[] parts =
                streamed
                        ? IntStream.range(0, EVENTS)
                                .mapToObj(id -> allocator.fromUtf8("id: " + id + "\ndata: x\n\n"))
                                .toArray(Buffer[]::new)
                        : new Buffer[] {allocator.fromUtf8("x")};
        StreamingHttpResponse response = responses.ok();
        WarmUpTraffic.encodeResponse(request.headers(), response.headers());
        if (streamed) {
            response.setHeader("content-type", "text/event-stream");
        }
        response.payloadBody(Publisher.from(parts));
        return request.payloadBody().ignoreElements().concat(Single.succeeded(response));
    }

    private void send(StreamingHttpClient caller, Runnable onEnd) {
        if (mSent >= REQUESTS || done()) {
            onEnd.run();
            return;
        }
        mSent++;
        boolean streamed = mSent % 3 != 0;
        String path = streamed ? WarmUpState.STREAM_PATH : WarmUpState.CALL_PATH;
        StreamingHttpRequest request = caller.post(path + "x");
        WarmUpTraffic.encodeRequest(
                "warm-up-" + mSent,
                WarmUpState.HOST,
                streamed ? PROMPT_TOKENS : 0,
                (long) EVENTS * TOKENS_PER_EVENT,
                request.headers());
        request.payloadBody(
                Publisher.from(caller.executionContext().bufferAllocator().fromUtf8("body")));
        caller.request(request)
                .flatMapCompletable(
                        response ->
                                response.payloadBody()
                                        .ignoreElements()
                                        .beforeOnComplete(() -> countAnswer(response)))
                .onErrorComplete()
                .subscribe(() -> mExecutor.execute(() -> send(caller, onEnd)));
    }

    private void countAnswer(StreamingHttpResponse response) {
        if (response.status().equals(HttpResponseStatus.OK)) {
            mAnswered.incrementAndGet();
        }
    }

    private void close(UpstreamClients clients, ExchangeRegistry forwarding) {
        LOG.info("warm_up_ended", "requests", mSent, "answered", mAnswered);
        mDone = true;
        forwarding.stop();
        Collections.reverse(mOpen);
        mOpen.forEach(open -> open.closeAsync().subscribe());
        clients.close();
    }
}
