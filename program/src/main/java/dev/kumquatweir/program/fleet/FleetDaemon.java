package dev.kumquatweir.program.fleet;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.forward.ExchangeRegistry;
import dev.kumquatweir.gateway.forward.ForwardingPorts;
import dev.kumquatweir.gateway.forward.ForwardingServer;
import dev.kumquatweir.gateway.forward.ReachMonitor;
import dev.kumquatweir.gateway.http.BodyMemory;
import dev.kumquatweir.gateway.http.HttpListeners.HttpListener;
import dev.kumquatweir.gateway.upstream.UpstreamClients;
import dev.kumquatweir.platform.ControlService;
import dev.kumquatweir.platform.HttpDialect;
import dev.kumquatweir.platform.MemoryOrders;
import dev.kumquatweir.platform.ReadinessService;
import dev.kumquatweir.platform.RequestedFeatures;
import dev.kumquatweir.platform.RoutingDocuments;
import dev.kumquatweir.policy.placement.PlacementLimits;
import dev.kumquatweir.policy.placement.SchedulerFeatures;
import dev.kumquatweir.policy.stop.PlannedStop;
import dev.kumquatweir.program.control.GroupControl;
import dev.kumquatweir.program.instance.ListenerFactory;
import dev.kumquatweir.program.instance.MetricsText;
import dev.kumquatweir.program.instance.StartRetry;
import dev.kumquatweir.settings.FleetSettings;
import dev.kumquatweir.settings.SchedulingSettings;
import dev.kumquatweir.transport.ClusterKey;
import dev.kumquatweir.transport.PeerNetwork;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Process of the fleet that acts as entry instance, control instance or both. {@link #start} and
 * {@link #stop} must each be called once.
 */
public final class FleetDaemon {
    private static final EventLog LOG = EventLog.of(FleetDaemon.class);
    private static final long TICK_INTERVAL_MILLIS = 50;
    private static final long IDLE_CONNECTION_MILLIS = 60_000;

    /** The heap is this many times as large as the memory for bodies of requests. */
    private static final int REQUEST_MEMORY_SHARE = 4;

    /** The heap is this many times as large as the memory for collected responses. */
    private static final int RESPONSE_MEMORY_SHARE = 8;

    /** Part of the time for a planned stop that is reserved for ending the process. */
    private static final long EXIT_MARGIN_MILLIS = 600;

    /** Time in which requests without an answer get their final responses at the end of a stop. */
    private static final long FINAL_RESPONSES_MILLIS = 200;

    /** Most time for the connections that are not those of callers. */
    private static final long MAXIMUM_CLOSE_MILLIS = 1_000;

    /** Most time for handing the place of a voter to a learner, which takes two commits. */
    private static final long DEPARTURE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long DRAIN_POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final FleetSettings mSettings;
    private final Clocks mClocks;
    private final IoExecutor mExecutor = NettyIoExecutors.createIoExecutor(1, "http");
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final RoutingDocuments mRoutingReader = new RoutingDocuments();
    private final PeerNetwork mNetwork;
    private final ControlInstanceDirectory mControlInstances;
    private final ListenerFactory mListenerFactory;
    private final Supplier<Either<Failure, LogStore>> mStores;
    private final Runnable mOnFatal;
    private final List<HttpListener> mListeners = new CopyOnWriteArrayList<>();
    private final Object mListenersLock = new Object();
    private volatile @Nullable GroupControl mGroup;
    private volatile @Nullable HttpListener mCallerListener;
    private volatile @Nullable ExchangeRegistry mForwarding;
    private @Nullable EntryFleetView mEntry;
    private volatile @Nullable EntryWarmUp mWarmUp;
    private volatile boolean mDraining;

    /**
     * Opens the connections between instances.
     *
     * @param settings validated settings
     * @param stores opens the store of the data folder
     * @param onFatal ends the process when the store or the replica can't continue safely
     * @throws dev.kumquatweir.core.failure.FailureException if the port between instances can't be
     *     listened on, unless it is in use: then it is waited for
     */
    public FleetDaemon(
            FleetSettings settings,
            Clocks clocks,
            Supplier<Either<Failure, LogStore>> stores,
            Runnable onFatal) {
        mSettings = settings;
        mClocks = clocks;
        mListenerFactory =
                new ListenerFactory(
                        settings.connections(),
                        IDLE_CONNECTION_MILLIS,
                        mMetrics,
                        clocks,
                        mExecutor);
        mStores = stores;
        mOnFatal = onFatal;
        InetSocketAddress address =
                new InetSocketAddress(settings.id().value(), settings.peerPort());
        ClusterKey key = ClusterKey.of(settings.clusterKey().getBytes(StandardCharsets.UTF_8));
        mNetwork =
                StartRetry.await(
                        "listen_for_peers",
                        clocks,
                        () ->
                                PeerNetwork.builder(settings.id(), settings.cluster(), key, address)
                                        .clock(clocks.monotonicNanos())
                                        .acceptUnlisted(true)
                                        .open());
        mControlInstances =
                new ControlInstanceDirectory(
                        mNetwork::peers, settings.peerPort(), settings.seeds());
    }

    // Lifecycle.

    /** Starts the configured roles and listens on their addresses. */
    public void start() {
        listen("metrics", mSettings.metrics(), new MetricsText(mMetrics));
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

    /** Returns whether the code of the request path has been exercised, or need not be. */
    public boolean warm() {
        EntryWarmUp warmUp = mWarmUp;
        return warmUp == null || warmUp.done();
    }

    /** Applies changed settings. Only the seeds change; all other settings require a restart. */
    public void reload(FleetSettings settings) {
        LOG.info("settings_reloaded", "seeds", settings.seeds());
        mControlInstances.setSeeds(settings.seeds());
    }

    /** Drains admitted requests as far as the time for a planned stop allows, then stops. */
    public void stop() {
        long startNanos = mClocks.nowNanos();
        LOG.info("instance_draining", "running", runningRequests());
        synchronized (mListenersLock) {
            mDraining = true;
        }
        mListeners.forEach(listener -> listener.connections().beginStop());
        // Before the requests are drained, which may take all the time of the stop.
        GroupControl group = mGroup;
        if (group != null) {
            group.depart(mClocks.nowNanos() + DEPARTURE_NANOS);
        }
        ExchangeRegistry forwarding = mForwarding;
        HttpListener callerListener = mCallerListener;
        if (forwarding != null && callerListener != null) {
            drainRequests(forwarding, callerListener, startNanos);
        }
        closeListeners(startNanos);
        if (group != null) {
            group.stop();
        }
        int brokenOff = forwarding == null ? 0 : forwarding.brokenOffCount();
        LOG.info("instance_stopped", "cut", brokenOff + runningRequests());
    }

    // Helpers.

    private PlacementLimits placementLimits() {
        return new PlacementLimits(
                mSettings.repeatRatio(), mSettings.repeatExtra(), mSettings.repeatWindowMillis());
    }

    private SchedulerFeatures schedulerFeatures() {
        SchedulingSettings scheduling = mSettings.scheduling();
        RequestedFeatures requested = RequestedFeatures.decode(scheduling.requestedFeatures());
        return SchedulerFeatures.builder()
                .teamSharing(scheduling.teamSharing().orElse(requested.teamSharing()))
                .learnedCosts(scheduling.learnedCosts())
                .domainBalance(scheduling.domainBalance())
                .memoryConfidence(
                        scheduling.memoryConfidence().orElse(requested.memoryConfidence()))
                .build();
    }

    private void startControl(InetSocketAddress address) {
        ControlFleetService control =
                new ControlFleetService(
                        mSettings.id(),
                        mNetwork,
                        mControlInstances,
                        placementLimits(),
                        schedulerFeatures(),
                        mRoutingReader,
                        mMetrics,
                        mClocks);
        GroupControl group =
                GroupControl.open(
                        mSettings,
                        mNetwork,
                        mClocks,
                        mStores,
                        new GroupControl.Listeners(
                                control::routingChanged, mControlInstances::setLocalMembers),
                        mOnFatal);
        control.start(group);
        group.start();
        // Set once it runs: a stop would wait in vain for the answer of a group that doesn't.
        mGroup = group;
        listen("control", address, new ControlService(control, mRoutingReader));
    }

    private void startEntry(InetSocketAddress address) {
        EntryFleetView entry =
                new EntryFleetView(
                        mSettings.id(),
                        mSettings.domain(),
                        mNetwork,
                        mControlInstances,
                        placementLimits(),
                        schedulerFeatures(),
                        mRoutingReader,
                        mMetrics,
                        mClocks,
                        mExecutor::execute);
        UpstreamClients clients = new UpstreamClients(mExecutor, mMetrics);
        ReachMonitor reach = new ReachMonitor(entry, clients, mClocks);
        entry.setReach(reach::cutOff, address.getPort());
        ForwardingPorts ports =
                new ForwardingPorts(
                        entry,
                        entry.placement(),
                        new MemoryOrders(clients),
                        new HttpDialect(),
                        clients,
                        reach,
                        new BodyMemory(Runtime.getRuntime().maxMemory() / REQUEST_MEMORY_SHARE),
                        new BodyMemory(
                                Runtime.getRuntime().maxMemory() / RESPONSE_MEMORY_SHARE,
                                mListenerFactory::connectionBytes),
                        mClocks);
        ExchangeRegistry forwarding = new ExchangeRegistry(ports, mMetrics, mExecutor);
        mEntry = entry;
        mForwarding = forwarding;
        mExecutor.execute(forwarding::start);
        mExecutor.execute(this::tickEntry);
        EntryWarmUp warmUp = new EntryWarmUp(mSettings.id(), mClocks, mExecutor);
        mWarmUp = warmUp;
        warmUp.start();
        mCallerListener = listen("callers", address, new ForwardingServer(forwarding));
        InetSocketAddress readiness = mSettings.readiness().orElseThrow();
        listen(
                "readiness",
                readiness,
                new ReadinessService(
                        () ->
                                !mDraining
                                        && warmUp.done()
                                        && entry.serving()
                                        && !reach.othersCarry()));
    }

    private void tickEntry() {
        try {
            Objects.requireNonNull(mEntry).tick();
        } catch (RuntimeException fault) {
            LOG.error("entry_tick_fault", fault);
        }
        mExecutor.schedule(this::tickEntry, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Waits until all connections of callers are closed, which happens once each request that was
     * read has its complete response, or until the time of the planned stop is over.
     */
    private void drainRequests(
            ExchangeRegistry forwarding, HttpListener callerListener, long startNanos) {
        long drainMillis = Math.max(0, mSettings.drainMillis() - EXIT_MARGIN_MILLIS);
        PlannedStop stop = new PlannedStop(startNanos, TimeUnit.MILLISECONDS.toNanos(drainMillis));
        forwarding.beginStop(stop);
        while (stop.acceptsConnections(mClocks.nowNanos())) {
            LockSupport.parkNanos(DRAIN_POLL_INTERVAL_NANOS);
        }
        long finalResponsesNanos =
                stop.exitNanos() + TimeUnit.MILLISECONDS.toNanos(FINAL_RESPONSES_MILLIS);
        await(List.of(callerListener.close(finalResponsesNanos)), finalResponsesNanos);
    }

    /** Lets orders, heartbeats and probes that have arrived get their answers, then closes all. */
    private void closeListeners(long startNanos) {
        long nowNanos = mClocks.nowNanos();
        long remainingMillis =
                mSettings.drainMillis()
                        - FINAL_RESPONSES_MILLIS
                        - TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
        long closeMillis = Math.max(0, Math.min(remainingMillis, MAXIMUM_CLOSE_MILLIS));
        long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(closeMillis);
        List<Future<?>> closed =
                mListeners.stream()
                        .filter(listener -> !listener.equals(mCallerListener))
                        .<Future<?>>map(listener -> listener.close(untilNanos))
                        .toList();
        await(closed, untilNanos);
        mListeners.forEach(listener -> listener.server().closeAsync().subscribe());
    }

    private void await(List<Future<?>> closed, long untilNanos) {
        while (!closed.stream().allMatch(Future::isDone) && mClocks.nowNanos() - untilNanos < 0) {
            LockSupport.parkNanos(DRAIN_POLL_INTERVAL_NANOS);
        }
    }

    private int runningRequests() {
        ExchangeRegistry forwarding = mForwarding;
        return forwarding == null ? 0 : forwarding.runningCount();
    }

    private HttpListener listen(
            String name, InetSocketAddress address, StreamingHttpService service) {
        HttpListener listener =
                StartRetry.await(
                        "listen_" + name, mClocks, () -> tryListen(name, address, service));
        synchronized (mListenersLock) {
            if (!mDraining) {
                mListeners.add(listener);
                return listener;
            }
        }
        listener.server().closeAsync().subscribe();
        throw awaitProcessEnd();
    }

    /** Keeps a start from going on while another thread stops the instance. Never returns. */
    private static IllegalStateException awaitProcessEnd() {
        while (true) {
            LockSupport.parkNanos(DRAIN_POLL_INTERVAL_NANOS);
        }
    }

    private Either<Failure, HttpListener> tryListen(
            String name, InetSocketAddress address, StreamingHttpService service) {
        if (mDraining) {
            throw awaitProcessEnd();
        }
        try {
            return Either.right(mListenerFactory.listen(name, address, service));
        } catch (Exception exception) {
            return Either.left(
                    new CannotListen(address.toString(), String.valueOf(exception.getMessage())));
        }
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
