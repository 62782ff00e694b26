package dev.kumquatweir.program.fleet;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.forward.ExchangeRegistry;
import dev.kumquatweir.gateway.forward.ForwardingPorts;
import dev.kumquatweir.gateway.forward.ForwardingServer;
import dev.kumquatweir.gateway.upstream.UpstreamClients;
import dev.kumquatweir.platform.ControlService;
import dev.kumquatweir.platform.HttpDialect;
import dev.kumquatweir.platform.MemoryOrders;
import dev.kumquatweir.platform.ReadinessService;
import dev.kumquatweir.platform.RoutingDocuments;
import dev.kumquatweir.policy.placement.PlacementLimits;
import dev.kumquatweir.program.control.GroupControl;
import dev.kumquatweir.program.instance.MetricsText;
import dev.kumquatweir.settings.FleetSettings;
import dev.kumquatweir.transport.ClusterKey;
import dev.kumquatweir.transport.PeerNetwork;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * One process of the fleet: an entry instance, a control instance, or both. {@link #start} and
 * {@link #stop} are called once each.
 */
public final class FleetDaemon {
    private static final EventLog LOG = EventLog.of(FleetDaemon.class);
    private static final long TICK_MILLIS = 50;
    private static final long IDLE_CONNECTION_MILLIS = 60_000;
    private static final int LONGEST_HEADER = 64 * 1024;

    /** The balancer asks each second and takes an instance out after two misses. */
    private static final long ACCEPTING_MILLIS = 3_500;

    /** Left of the time for a planned stop when the process ends. */
    private static final long EXIT_MARGIN_MILLIS = 600;

    private static final long DRAIN_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final FleetSettings mSettings;
    private final Clocks mClocks;
    private final IoExecutor mExecutor = NettyIoExecutors.createIoExecutor(1, "http");
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final RoutingDocuments mDocuments = new RoutingDocuments();
    private final PeerNetwork mNetwork;
    private final PeerBook mPeers;
    private final Supplier<LogStore> mStores;
    private final Runnable mOnFatal;
    private final List<HttpServerContext> mServers = new ArrayList<>();
    private @Nullable GroupControl mGroup;
    private @Nullable ForwardingServer mCallers;
    private @Nullable ExchangeRegistry mForwarding;
    private @Nullable EntryFleet mEntry;
    private volatile boolean mDraining;

    /**
     * Opens the connections between instances.
     *
     * @param settings checked settings
     * @param stores opens the store of the data folder
     * @param onFatal ends the process: the store or the replica can't go on safely
     * @throws FailureException if the port between instances can't be listened on
     */
    public FleetDaemon(
            FleetSettings settings, Clocks clocks, Supplier<LogStore> stores, Runnable onFatal) {
        mSettings = settings;
        mClocks = clocks;
        mStores = stores;
        mOnFatal = onFatal;
        InetSocketAddress address =
                new InetSocketAddress(settings.id().value(), settings.peerPort());
        ClusterKey key = ClusterKey.of(settings.clusterKey().getBytes(StandardCharsets.UTF_8));
        mNetwork =
                orThrow(
                        PeerNetwork.builder(settings.id(), settings.cluster(), key, address)
                                .clock(clocks.monotonicNanos())
                                .acceptUnlisted(true)
                                .open());
        mPeers = new PeerBook(mNetwork::peers, settings.peerPort(), settings.seeds());
    }

    // Life-cycle.

    /** Starts the roles that the settings name and listens. */
    public void start() {
        listen(mSettings.metrics(), new MetricsText(mMetrics));
        if (mSettings.control().isPresent()) {
            startControl(mSettings.control().get());
        }
        if (mSettings.callers().isPresent()) {
            startEntry(mSettings.callers().get());
        }
        LOG.info(
                "instance_started",
                "name",
                mSettings.name(),
                "instance",
                mSettings.id(),
                "domain",
                mSettings.domain(),
                "callers",
                mSettings.callers(),
                "control",
                mSettings.control(),
                "seeds",
                mSettings.seeds(),
                "first_start",
                mSettings.firstStart());
    }

    /** Takes changed settings: other seeds are used, everything else needs a restart. */
    public void reload(FleetSettings settings) {
        LOG.info("settings_reloaded", "seeds", settings.seeds());
        mPeers.seeds(settings.seeds());
    }

    /** Stops without cutting an admitted request, as far as the time for a stop allows. */
    public void stop() {
        long startNanos = mClocks.nowNanos();
        LOG.info("instance_draining", "running", running());
        mDraining = true;
        ForwardingServer callers = mCallers;
        if (callers != null) {
            callers.drain();
            drainCallers(startNanos);
        }
        GroupControl group = mGroup;
        if (group != null) {
            group.handOver();
        }
        mServers.forEach(server -> server.closeAsync().subscribe());
        if (group != null) {
            group.stop();
        }
        LOG.info("instance_stopped", "cut", running());
    }

    // Helpers.

    private PlacementLimits limits() {
        return new PlacementLimits(
                mSettings.repeatRatio(), mSettings.repeatExtra(), mSettings.repeatWindowMillis());
    }

    private void startControl(InetSocketAddress address) {
        ControlFleet control =
                new ControlFleet(
                        mSettings.id(), mNetwork, mPeers, limits(), mDocuments, mMetrics, mClocks);
        GroupControl group =
                GroupControl.open(
                        mSettings,
                        mNetwork,
                        mClocks,
                        mStores,
                        new GroupControl.Listeners(control::routing, mPeers::own),
                        mOnFatal);
        mGroup = group;
        control.start(group);
        group.start();
        listen(address, new ControlService(control, mDocuments));
    }

    private void startEntry(InetSocketAddress address) {
        EntryFleet entry =
                new EntryFleet(
                        mSettings.id(),
                        mSettings.domain(),
                        mNetwork,
                        mPeers,
                        limits(),
                        mDocuments,
                        mClocks,
                        mExecutor::execute);
        UpstreamClients clients = new UpstreamClients(mExecutor);
        ForwardingPorts ports =
                new ForwardingPorts(
                        entry,
                        entry.placement(),
                        new MemoryOrders(clients),
                        new HttpDialect(),
                        clients,
                        mClocks);
        ExchangeRegistry forwarding = new ExchangeRegistry(ports, mMetrics, mExecutor);
        ForwardingServer callers = new ForwardingServer(forwarding);
        mEntry = entry;
        mForwarding = forwarding;
        mCallers = callers;
        mExecutor.execute(forwarding::start);
        mExecutor.execute(this::tickEntry);
        listen(address, callers);
        InetSocketAddress readiness = mSettings.readiness().orElseThrow();
        listen(readiness, new ReadinessService(() -> !mDraining && entry.serving()));
    }

    private void tickEntry() {
        try {
            Objects.requireNonNull(mEntry).tick();
        } catch (RuntimeException fault) {
            LOG.error("entry_tick_fault", fault);
        }
        mExecutor.schedule(this::tickEntry, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void drainCallers(long startNanos) {
        long acceptUntil = startNanos + TimeUnit.MILLISECONDS.toNanos(ACCEPTING_MILLIS);
        long exitMillis = Math.max(0, mSettings.drainMillis() - EXIT_MARGIN_MILLIS);
        long exitAt = startNanos + TimeUnit.MILLISECONDS.toNanos(exitMillis);
        while (mClocks.nowNanos() - Math.min(acceptUntil, exitAt) < 0) {
            LockSupport.parkNanos(DRAIN_POLL_NANOS);
        }
        mServers.forEach(server -> server.closeAsyncGracefully().subscribe());
        while (running() > 0 && mClocks.nowNanos() - exitAt < 0) {
            LockSupport.parkNanos(DRAIN_POLL_NANOS);
        }
    }

    private int running() {
        ExchangeRegistry forwarding = mForwarding;
        return forwarding == null ? 0 : forwarding.runningCount();
    }

    private void listen(InetSocketAddress address, StreamingHttpService service) {
        try {
            mServers.add(
                    HttpServers.forAddress(address)
                            .ioExecutor(mExecutor)
                            .executionStrategy(HttpExecutionStrategies.offloadNone())
                            .protocols(
                                    HttpProtocolConfigs.h1()
                                            .maxHeaderFieldLength(LONGEST_HEADER)
                                            .maxStartLineLength(LONGEST_HEADER)
                                            .build())
                            .socketOption(
                                    ServiceTalkSocketOptions.IDLE_TIMEOUT, IDLE_CONNECTION_MILLIS)
                            .listenStreamingAndAwait(service));
        } catch (Exception exception) {
            throw new FailureException(
                    new CannotListen(address.toString(), String.valueOf(exception.getMessage())));
        }
    }

    private static <T> T orThrow(Either<? extends Failure, T> result) {
        return result.getOrElseThrow(FailureException::new);
    }

    /** An address can't be listened on. */
    record CannotListen(String address, String problem) implements Failure {
        @Override
        public String code() {
            return "cannot_listen";
        }

        @Override
        public String message() {
            return "can't listen on " + address + ": " + problem;
        }
    }
}
