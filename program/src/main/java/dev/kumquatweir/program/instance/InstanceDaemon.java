package dev.kumquatweir.program.instance;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.caller.CallerPorts;
import dev.kumquatweir.gateway.caller.CallerServer;
import dev.kumquatweir.gateway.http.BodyMemory;
import dev.kumquatweir.gateway.http.HttpListeners.HttpListener;
import dev.kumquatweir.gateway.upstream.UpstreamClients;
import dev.kumquatweir.gateway.upstream.UpstreamListener;
import dev.kumquatweir.program.burn.BurnAggregator;
import dev.kumquatweir.program.burn.BurnFile;
import dev.kumquatweir.program.burn.BurnRecorder;
import dev.kumquatweir.program.control.ControlPlane;
import dev.kumquatweir.program.control.ReplicaIdentityClient;
import dev.kumquatweir.program.operator.OperatorListener;
import dev.kumquatweir.program.operator.OperatorRoutes;
import dev.kumquatweir.program.spread.RegistrySynchronizer;
import dev.kumquatweir.settings.InstanceSettings;
import dev.kumquatweir.transport.PeerNetwork;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * One running instance: it serves callers, receives reports of upstreams, answers operators and
 * takes part in the control plane. {@link #start} and {@link #stop} are called once each.
 */
public final class InstanceDaemon {
    private static final EventLog LOG = EventLog.of(InstanceDaemon.class);
    private static final int IO_THREADS = 2;

    /** The heap is this many times as large as the memory for bodies of requests. */
    private static final int BODY_MEMORY_SHARE = 4;

    private static final long DRAIN_POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private static final long CLOSE_TIMEOUT_SECONDS = 5;

    /**
     * Readiness fails for this time before connections are refused, so that the load balancer stops
     * sending connections first.
     */
    private static final long READINESS_PROPAGATION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time for the final answers and records of requests that the stop cuts off. */
    private static final long FINAL_ANSWERS_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final InstanceSettings mSettings;
    private final ControlPlane mControl;
    private final Clocks mClocks;
    private final IoExecutor mIoExecutor;
    private final ListenerFactory mListenerFactory;
    private final UpstreamClients mUpstreamClients;
    private final UpstreamSubsystem mUpstreamSubsystem;
    private final BurnRecorder mBurnRecorder;
    private final BurnAggregator mBurnAggregator;
    private final InstanceHealth mHealth;
    private final CallerServer mCallerServer;
    private final UpstreamListener mUpstreamListener;
    private final OperatorListener mOperatorListener;
    private List<HttpListener> mListeners = List.of();

    /**
     * Creates an instance that is not running yet.
     *
     * @param settings validated settings
     * @param control connection to the replicated state
     * @param network connections to the other instances, already listening
     * @param clocks clocks of the process
     * @param incarnation number that increases with each start of this instance
     */
    public InstanceDaemon(
            InstanceSettings settings,
            ControlPlane control,
            PeerNetwork network,
            Clocks clocks,
            long incarnation) {
        mSettings = settings;
        mControl = control;
        mClocks = clocks;
        mIoExecutor = NettyIoExecutors.createIoExecutor(IO_THREADS, "http");
        MetricRegistry metrics = new MetricRegistry();
        mListenerFactory =
                new ListenerFactory(
                        settings.limits().connections(),
                        settings.limits().idleConnectionMillis(),
                        metrics,
                        clocks,
                        mIoExecutor);
        mUpstreamClients = new UpstreamClients(mIoExecutor, metrics);
        mBurnRecorder =
                new BurnRecorder(
                        settings.dataFolder().map(folder -> new BurnFile(folder.resolve("burn"))),
                        clocks);
        mBurnAggregator = new BurnAggregator(mBurnRecorder, network, settings.otherInstances());
        mUpstreamSubsystem =
                new UpstreamSubsystem(
                        settings,
                        control,
                        network,
                        mUpstreamClients,
                        new RequestMetrics(metrics, mBurnRecorder),
                        metrics,
                        clocks,
                        incarnation);
        registerMetrics(metrics);
        mHealth = new InstanceHealth(control.configuration(), metrics);
        mCallerServer =
                new CallerServer(
                        settings.id(),
                        incarnation,
                        new CallerPorts(
                                control.configuration(),
                                control.claims(),
                                mUpstreamSubsystem.dispatch(),
                                mHealth,
                                bodyMemory(settings.limits().bodyBytes())),
                        clocks,
                        settings.limits().bodyBytes());
        RegistrySynchronizer registrySynchronizer =
                new RegistrySynchronizer(
                        mUpstreamSubsystem.dispatch(),
                        control.permits().observations(),
                        network,
                        settings.otherInstances());
        mUpstreamListener =
                new UpstreamListener(
                        settings.announceKey(),
                        registrySynchronizer,
                        () -> control.configuration().current().inForce(clocks.nowNanos()));
        mOperatorListener =
                new OperatorListener(
                        settings.id(), settings.operators(), createOperatorRoutes(network));
    }

    /**
     * Starts all components, then listens for connections.
     *
     * @throws FailureException if an address cannot be listened on, unless it is in use: then it is
     *     waited for
     */
    public void start() {
        mBurnRecorder.start();
        mBurnAggregator.start();
        mControl.start();
        mUpstreamSubsystem.start();
        mCallerServer.start();
        mListeners =
                List.of(
                        listen("caller", mSettings.listen().caller(), mCallerServer),
                        listen("upstream", mSettings.listen().upstream(), mUpstreamListener),
                        listen("operator", mSettings.listen().operator(), mOperatorListener));
        LOG.info(
                "instance_started",
                "instance",
                mSettings.id(),
                "domain",
                mSettings.domain(),
                "caller",
                mSettings.listen().caller(),
                "upstream",
                mSettings.listen().upstream());
    }

    /**
     * Shuts down gracefully: readiness fails first, then admitted requests may finish within the
     * drain time of the settings. Those that have not finished by then fail.
     */
    public void stop() {
        LOG.info("instance_draining", "running", mUpstreamSubsystem.dispatch().running());
        mHealth.startDraining();
        LockSupport.parkNanos(READINESS_PROPAGATION_NANOS);
        long drainTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(mSettings.limits().drainMillis());
        awaitRequests(mClocks.nowNanos() + drainTimeoutNanos);
        int cut = mUpstreamSubsystem.dispatch().running();
        mUpstreamSubsystem.dispatch().failUnfinished();
        mUpstreamSubsystem.abandonOversizeRuns();
        awaitRequests(mClocks.nowNanos() + FINAL_ANSWERS_NANOS);
        closeListeners();
        mControl.handOver();
        mCallerServer.stop();
        mUpstreamSubsystem.stop();
        mBurnRecorder.stop();
        mControl.stop();
        mUpstreamClients.close();
        LOG.info("instance_stopped", "cut", cut);
    }

    private void awaitRequests(long untilNanos) {
        while (hasUnfinishedRequests() && mClocks.nowNanos() - untilNanos < 0) {
            LockSupport.parkNanos(DRAIN_POLL_INTERVAL_NANOS);
        }
    }

    private boolean hasUnfinishedRequests() {
        return mUpstreamSubsystem.hasUnfinishedWork() || mCallerServer.pendingRecords() > 0;
    }

    /** Returns memory that a single body within its limit always fits into. */
    private static BodyMemory bodyMemory(long maximumBodyBytes) {
        long share = Runtime.getRuntime().maxMemory() / BODY_MEMORY_SHARE;
        return new BodyMemory(Math.max(share, maximumBodyBytes));
    }

    private void registerMetrics(MetricRegistry metrics) {
        Gauge<Long> version = () -> mControl.configuration().current().version();
        Gauge<Integer> lease =
                () -> mControl.configuration().current().inForce(mClocks.nowNanos()) ? 1 : 0;
        Gauge<Integer> leading = () -> mControl.replicaStatus().leading() ? 1 : 0;
        Gauge<Long> term = () -> mControl.replicaStatus().term();
        Gauge<Long> commits = () -> mControl.replicaStatus().commitIndex();
        metrics.register("kumquatweir_replica_leading", leading);
        metrics.register("kumquatweir_replica_term", term);
        metrics.register("kumquatweir_replica_commit_index", commits);
        metrics.register("kumquatweir_configuration_version", version);
        metrics.register("kumquatweir_configuration_lease_held", lease);
    }

    private OperatorRoutes createOperatorRoutes(PeerNetwork network) {
        return new OperatorRoutes(
                mSettings,
                mControl,
                mUpstreamSubsystem.dispatch(),
                new ReplicaIdentityClient(network),
                mBurnAggregator,
                mClocks);
    }

    private HttpListener listen(
            String name, InetSocketAddress address, StreamingHttpService service) {
        return StartRetry.await("listen_" + name, mClocks, () -> tryListen(name, address, service));
    }

    private Either<Failure, HttpListener> tryListen(
            String name, InetSocketAddress address, StreamingHttpService service) {
        try {
            return Either.right(mListenerFactory.listen(name, address, service));
        } catch (Exception exception) {
            return Either.left(
                    new StartFailure.CannotListen(
                            address.toString(), String.valueOf(exception.getMessage())));
        }
    }

    /** Waits until requests that have arrived are answered and the listeners are closed. */
    private void closeListeners() {
        long untilNanos = mClocks.nowNanos() + TimeUnit.SECONDS.toNanos(CLOSE_TIMEOUT_SECONDS);
        List<Future<?>> closed =
                mListeners.stream().<Future<?>>map(listener -> listener.close(untilNanos)).toList();
        while (!closed.stream().allMatch(Future::isDone) && mClocks.nowNanos() - untilNanos < 0) {
            LockSupport.parkNanos(DRAIN_POLL_INTERVAL_NANOS);
        }
    }
}
