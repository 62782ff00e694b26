package dev.kumquatweir.program.instance;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.caller.CallerPorts;
import dev.kumquatweir.gateway.caller.CallerServer;
import dev.kumquatweir.gateway.dispatch.DispatchDuty;
import dev.kumquatweir.gateway.memory.AccountedCaller;
import dev.kumquatweir.gateway.memory.HeldMemory;
import dev.kumquatweir.gateway.oversize.AccountedKvCalls;
import dev.kumquatweir.gateway.oversize.OversizeCaller;
import dev.kumquatweir.gateway.oversize.PartIds;
import dev.kumquatweir.gateway.upstream.HttpEngineMemory;
import dev.kumquatweir.gateway.upstream.HttpUpstreamCaller;
import dev.kumquatweir.gateway.upstream.KvClient;
import dev.kumquatweir.gateway.upstream.UpstreamClients;
import dev.kumquatweir.gateway.upstream.UpstreamListener;
import dev.kumquatweir.policy.dispatch.PolicyDispatcher;
import dev.kumquatweir.policy.dispatch.QuarantinedRecovery;
import dev.kumquatweir.policy.dispatch.SimpleRecovery;
import dev.kumquatweir.policy.memory.AttemptIds;
import dev.kumquatweir.policy.oversize.EngineAdmission;
import dev.kumquatweir.policy.permit.ColdPermits;
import dev.kumquatweir.policy.permit.PermitHolder;
import dev.kumquatweir.policy.quarantine.Quarantine;
import dev.kumquatweir.policy.routing.RoutingOptions;
import dev.kumquatweir.program.burn.BurnFile;
import dev.kumquatweir.program.burn.BurnGathering;
import dev.kumquatweir.program.burn.BurnRecorder;
import dev.kumquatweir.program.control.ControlPlane;
import dev.kumquatweir.program.control.StoreQuestion;
import dev.kumquatweir.program.memory.MemoryReconciliation;
import dev.kumquatweir.program.operator.OperatorListener;
import dev.kumquatweir.program.operator.OperatorRoutes;
import dev.kumquatweir.program.permit.PermitRenewal;
import dev.kumquatweir.program.permit.RenewingDispatcher;
import dev.kumquatweir.program.spread.QuarantineSpread;
import dev.kumquatweir.program.spread.RegistrySpread;
import dev.kumquatweir.settings.InstanceSettings;
import dev.kumquatweir.settings.PeerSettings;
import dev.kumquatweir.transport.PeerNetwork;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * One running instance: entry for callers, intake for upstreams, and its part in the agreed state.
 * {@link #start} and {@link #stop} are called once each.
 */
public final class InstanceDaemon {
    private static final EventLog LOG = EventLog.of(InstanceDaemon.class);
    private static final int IO_THREADS = 2;
    private static final long DRAIN_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private static final long CLOSE_LIMIT_SECONDS = 5;

    /** Time for the balancer to see that readiness fails before connections are refused. */
    private static final long BALANCER_NOTICE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final InstanceSettings mSettings;
    private final ControlPlane mControl;
    private final Clocks mClocks;
    private final IoExecutor mExecutor;
    private final UpstreamClients mClients;
    private final OversizeCaller mOversize;
    private final DispatchDuty mDispatch;
    private final MemoryReconciliation mMemory;
    private final QuarantineSpread mQuarantine;
    private final BurnRecorder mBurn;
    private final BurnGathering mGathering;
    private final InstanceHealth mHealth;
    private final CallerServer mCallers;
    private final UpstreamListener mUpstreams;
    private final OperatorListener mOperators;
    private List<HttpServerContext> mServers = List.of();

    /**
     * Wires an instance that is not yet running.
     *
     * @param settings checked settings
     * @param control connection to the agreed state
     * @param network connections to the other instances, already listening
     * @param clocks clocks of the process
     * @param incarnation grows with each start of this instance
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
        mExecutor = NettyIoExecutors.createIoExecutor(IO_THREADS, "http");
        mClients = new UpstreamClients(mExecutor);
        mBurn =
                new BurnRecorder(
                        settings.dataFolder().map(folder -> new BurnFile(folder.resolve("burn"))),
                        clocks);
        mGathering = new BurnGathering(mBurn, network, otherInstances(settings));
        MetricRegistry metrics = new MetricRegistry();
        AttemptIds attemptIds = new AttemptIds(settings.id(), incarnation);
        RoutingOptions routing = RoutingOptions.of(settings.domain(), settings.id().hashCode());
        HeldMemory held = new HeldMemory();
        Quarantine quarantine = Quarantine.builder().owner(settings.id().value()).build();
        mOversize =
                new OversizeCaller(
                        new AccountedCaller(
                                new HttpUpstreamCaller(mClients, settings.limits().bodyBytes()),
                                held,
                                clocks),
                        new AccountedKvCalls(new KvClient(mClients), held),
                        control.configuration(),
                        clocks,
                        new PartIds(settings.id(), incarnation),
                        plan -> EngineAdmission.INSTANCE);
        PermitHolder permits = new PermitHolder(settings.id(), incarnation);
        ColdPermits cold = new ColdPermits(permits);
        PermitRenewal renewal = new PermitRenewal(permits, cold, control.permits(), metrics);
        mDispatch =
                new DispatchDuty(
                        new RenewingDispatcher(
                                PolicyDispatcher.builder(attemptIds, routing)
                                        .coldAllowance(cold)
                                        .recovery(
                                                new QuarantinedRecovery(
                                                        new SimpleRecovery(), quarantine))
                                        .build(),
                                renewal),
                        mOversize,
                        control.configuration(),
                        new RequestMetrics(metrics, mBurn),
                        clocks);
        mQuarantine =
                new QuarantineSpread(quarantine, mDispatch::run, network, otherInstances(settings));
        register(metrics);
        mMemory = reconciliation(incarnation, network, held, metrics);
        mHealth = new InstanceHealth(control.configuration(), metrics);
        mCallers =
                new CallerServer(
                        settings.id(),
                        incarnation,
                        new CallerPorts(
                                control.configuration(), control.claims(), mDispatch, mHealth),
                        clocks,
                        settings.limits().bodyBytes());
        RegistrySpread spread =
                new RegistrySpread(
                        mDispatch,
                        control.permits().sightings(),
                        network,
                        otherInstances(settings));
        mUpstreams =
                new UpstreamListener(
                        settings.announceKey(),
                        spread,
                        () -> control.configuration().current().inForce(clocks.nowNanos()));
        OperatorRoutes routes =
                new OperatorRoutes(
                        settings,
                        control,
                        mDispatch,
                        new StoreQuestion(network),
                        mGathering,
                        clocks);
        mOperators = new OperatorListener(settings.id(), settings.operators(), routes);
    }

    /**
     * Starts all duties and listens.
     *
     * @throws FailureException if an address can't be listened on
     */
    public void start() {
        mBurn.start();
        mGathering.start();
        mControl.start();
        mOversize.start();
        mDispatch.start();
        mMemory.start();
        mQuarantine.start();
        mCallers.start();
        mServers =
                List.of(
                        listen(mSettings.listen().caller(), mCallers),
                        listen(mSettings.listen().upstream(), mUpstreams),
                        listen(mSettings.listen().operator(), mOperators));
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

    /** Stops without cutting an admitted request: readiness fails first, admitted work finishes. */
    public void stop() {
        LOG.info("instance_draining", "running", mDispatch.running());
        mHealth.drain();
        LockSupport.parkNanos(BALANCER_NOTICE_NANOS);
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(mSettings.limits().drainMillis());
        long startNanos = mClocks.nowNanos();
        while (busy() && mClocks.nowNanos() - startNanos < limitNanos) {
            LockSupport.parkNanos(DRAIN_POLL_NANOS);
        }
        mOversize.abandonAll();
        mServers.forEach(InstanceDaemon::closeGracefully);
        mControl.handOver();
        mCallers.stop();
        mQuarantine.stop();
        mDispatch.stop();
        mOversize.stop();
        mMemory.stop();
        mBurn.stop();
        mControl.stop();
        mClients.close();
        LOG.info("instance_stopped", "cut", mDispatch.running());
    }

    private boolean busy() {
        return mDispatch.running() > 0 || mOversize.open() > 0 || mCallers.pendingRecords() > 0;
    }

    private void register(MetricRegistry metrics) {
        Gauge<Integer> running = mDispatch::running;
        Gauge<Long> version = () -> mControl.configuration().current().version();
        Gauge<Integer> lease =
                () -> mControl.configuration().current().inForce(mClocks.nowNanos()) ? 1 : 0;
        Gauge<Integer> marks = mQuarantine::marks;
        Gauge<Integer> refused = mQuarantine::refused;
        metrics.register("kumquatweir_quarantine_marks", marks);
        metrics.register("kumquatweir_quarantine_refused", refused);
        metrics.register("kumquatweir_requests_running", running);
        metrics.register("kumquatweir_configuration_version", version);
        metrics.register("kumquatweir_configuration_lease_held", lease);
    }

    private MemoryReconciliation reconciliation(
            long incarnation, PeerNetwork network, HeldMemory held, MetricRegistry metrics) {
        return new MemoryReconciliation(
                mSettings,
                incarnation,
                mControl,
                network,
                mDispatch,
                new HttpEngineMemory(mClients),
                held,
                metrics,
                mClocks);
    }

    private HttpServerContext listen(InetSocketAddress address, StreamingHttpService service) {
        try {
            return HttpServers.forAddress(address)
                    .ioExecutor(mExecutor)
                    .executionStrategy(HttpExecutionStrategies.offloadNone())
                    .socketOption(
                            ServiceTalkSocketOptions.IDLE_TIMEOUT,
                            mSettings.limits().idleConnectionMillis())
                    .listenStreamingAndAwait(service);
        } catch (Exception exception) {
            Failure failure =
                    new StartFailure.CannotListen(
                            address.toString(), String.valueOf(exception.getMessage()));
            throw new FailureException(failure);
        }
    }

    /** Waits for the close: what follows in a planned stop must run whatever it comes to. */
    private static void closeGracefully(HttpServerContext server) {
        try {
            server.closeAsyncGracefully()
                    .timeout(CLOSE_LIMIT_SECONDS, TimeUnit.SECONDS)
                    .onErrorComplete()
                    .toFuture()
                    .get();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException exception) {
            LOG.fault("listener_not_closed", exception);
        }
    }

    private static List<InstanceId> otherInstances(InstanceSettings settings) {
        return settings.peers().stream()
                .map(PeerSettings::id)
                .filter(id -> !id.equals(settings.id()))
                .toList();
    }
}
