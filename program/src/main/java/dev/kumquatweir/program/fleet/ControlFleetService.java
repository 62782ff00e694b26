package dev.kumquatweir.program.fleet;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.agreement.raft.LogSize;
import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.duty.EventLoop;
import dev.kumquatweir.core.duty.NewestValue;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.fleet.FleetPort;
import dev.kumquatweir.policy.placement.PlacementLimits;
import dev.kumquatweir.policy.placement.SchedulerFeatures;
import dev.kumquatweir.program.control.GroupControl;
import dev.kumquatweir.program.control.ReplicaStatus;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.transport.PeerNetwork;
import dev.kumquatweir.transport.Responder;
import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Fleet service of a control instance: receives upstream statuses, serves watch requests and, on
 * the leader, places requests. Runs the event loop {@code fleet}, which owns the state.
 * Thread-safe.
 */
final class ControlFleetService implements FleetPort {
    private static final EventLog LOG = EventLog.of(ControlFleetService.class);
    private static final int QUEUE_CAPACITY = 8_192;

    /** Tick interval while requests wait, which are then reconsidered even without new events. */
    private static final long WAITING_TICK_INTERVAL_MILLIS = 10;

    private static final long IDLE_TICK_INTERVAL_MILLIS = 50;

    /** With a backlog of messages, one decision pass over the waiting requests covers several. */
    private static final long MAXIMUM_DECISION_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private static final long WATCH_TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long EXPIRY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long ENTRY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Clocks mClocks;
    private final ControlInstanceDirectory mControlInstances;
    private final Function<Bytes, ? extends Either<? extends Failure, RoutingTable>> mRoutingReader;
    private final UpstreamDirectory mLocalUpstreams = new UpstreamDirectory();
    private final UpstreamDirectory mUpstreams = new UpstreamDirectory();
    private final QuarantineDirectory mQuarantine = new QuarantineDirectory();
    private final WatchServer mWatchServer;
    private final WatchClient mWatchClient;
    private final LeaderScheduler mScheduler;
    private final EventLoop mEventLoop;
    private final NewestValue<RoutingImage> mRoutingChanges;
    private @Nullable GroupControl mGroup;
    private RoutingImage mRouting = RoutingImage.EMPTY;
    private List<InstanceId> mMembers = List.of();
    private long mMembersIndex;
    private long mLastDecisionNanos;
    private long mLastWatchTickNanos;
    private long mLastExpiryNanos;

    ControlFleetService(
            InstanceId self,
            PeerNetwork network,
            ControlInstanceDirectory controlInstances,
            PlacementLimits limits,
            SchedulerFeatures features,
            Function<Bytes, ? extends Either<? extends Failure, RoutingTable>> routingReader,
            MetricRegistry metrics,
            Clocks clocks) {
        mClocks = clocks;
        mControlInstances = controlInstances;
        mRoutingReader = routingReader;
        mWatchServer = new WatchServer(mLocalUpstreams, mQuarantine, clocks.nowMillis());
        mScheduler = new LeaderScheduler(limits, features, metrics, clocks);
        mEventLoop =
                new EventLoop(
                        "fleet",
                        QUEUE_CAPACITY,
                        this::tickIntervalMillis,
                        this::tick,
                        (thread, fault) -> LOG.error("fleet_fault", fault));
        mRoutingChanges = new NewestValue<>(mEventLoop::offer, this::updateRouting);
        mWatchClient =
                new WatchClient(
                        self,
                        false,
                        mQuarantine,
                        network,
                        clocks,
                        mEventLoop::offer,
                        () -> mRouting.changeCount(),
                        () -> false,
                        this::handleWatchResponse);
        network.handle(
                FrameType.WATCH.number(),
                (peer, payload, responder) -> handleWatch(peer, payload, false, responder));
        network.handle(
                FrameType.WATCH_COMPACT.number(),
                (peer, payload, responder) -> handleWatch(peer, payload, true, responder));
        network.handle(FrameType.PLACE.number(), this::handlePlace);
        network.handle(FrameType.PLACEMENT_EVENT.number(), this::handleEvent);
        network.handle(
                FrameType.CAPABILITIES.number(),
                (peer, payload, responder) -> responder.respond(PeerCapabilities.OWN.encode()));
        Gauge<Integer> upstreams = mUpstreams::size;
        metrics.register("kumquatweir_fleet_upstreams", upstreams);
        Gauge<Integer> quarantinedParts = mQuarantine::quarantinedCount;
        metrics.register("kumquatweir_fleet_quarantined_parts", quarantinedParts);
        Gauge<Long> logEntries = () -> logSize().entries();
        metrics.register("kumquatweir_log_entries", logEntries);
        Gauge<Long> logBytes = () -> logSize().bytes();
        metrics.register("kumquatweir_log_bytes", logBytes);
    }

    private LogSize logSize() {
        GroupControl group = mGroup;
        return group == null ? LogSize.NONE : group.status().logSize();
    }

    // Lifecycle.

    void start(GroupControl group) {
        mGroup = group;
        mEventLoop.start();
    }

    void stop() {
        mEventLoop.stop();
    }

    /** Updates the routing image; may be called from any thread. */
    void routingChanged(RoutingImage image) {
        mRoutingChanges.offer(image);
    }

    // FleetPort.

    @Override
    public CompletionStage<Either<Failure, Long>> putRouting(long version, Bytes document) {
        return group().storeRouting(version, document);
    }

    @Override
    public CompletionStage<Either<Failure, Bytes>> readRouting() {
        return group().readRouting()
                .thenApply(
                        image ->
                                image.flatMap(
                                        routing ->
                                                routing.version() == 0
                                                        ? Either.left(new NoConfiguration())
                                                        : Either.right(routing.document())));
    }

    @Override
    public CompletionStage<Either<Failure, Boolean>> setDomain(
            FailureDomain domain, boolean outOfService, BooleanSupplier callerWaits) {
        return group().setDomain(domain, outOfService, callerWaits);
    }

    @Override
    public CompletionStage<Boolean> recordHeartbeat(UpstreamStatus status) {
        CompletableFuture<Boolean> confirmed = new CompletableFuture<>();
        if (!mEventLoop.offer(() -> handleStatus(status, confirmed))) {
            confirmed.complete(false);
        }
        return confirmed;
    }

    @Override
    public CompletionStage<Boolean> recordDeparture(UpstreamId upstream, long startedAtMillis) {
        CompletableFuture<Boolean> confirmed = new CompletableFuture<>();
        if (!mEventLoop.offer(() -> handleLeave(upstream, startedAtMillis, confirmed))) {
            confirmed.complete(false);
        }
        return confirmed;
    }

    // On the event loop.

    private GroupControl group() {
        return Objects.requireNonNull(mGroup);
    }

    /**
     * Returns whether a leader is known. Without one, a status may not reach the other instances,
     * so the upstream must report to another control instance.
     */
    private boolean hasLeader() {
        return group().leader().isPresent();
    }

    private void handleStatus(UpstreamStatus status, CompletableFuture<Boolean> confirmed) {
        long nowNanos = mClocks.nowNanos();
        mUpstreams.update(status, nowNanos);
        UpstreamDirectory.Change change = mLocalUpstreams.update(status, nowNanos);
        if (change == UpstreamDirectory.Change.STATE) {
            publishChange(status, nowNanos);
        } else {
            mScheduler.updateUpstream(status, nowNanos);
        }
        if (!hasLeader()) {
            // Kept, so that the next leader knows the upstream at once, but not confirmed.
            confirmed.complete(false);
        } else if (change == UpstreamDirectory.Change.STATE
                || status.phase() != UpstreamPhase.READY) {
            mWatchServer.confirmDelivery(nowNanos).thenAccept(confirmed::complete);
        } else {
            confirmed.complete(true);
        }
    }

    private void handleLeave(
            UpstreamId upstream, long startedAtMillis, CompletableFuture<Boolean> confirmed) {
        long nowNanos = mClocks.nowNanos();
        UpstreamDirectory.Departure departure =
                mUpstreams.markLeft(upstream, startedAtMillis, nowNanos);
        if (departure instanceof UpstreamDirectory.Departure.Recorded recorded) {
            mLocalUpstreams.update(recorded.status(), nowNanos);
            publishChange(recorded.status(), nowNanos);
        }
        boolean unknown = departure instanceof UpstreamDirectory.Departure.Unknown;
        if (unknown) {
            LOG.info("departure_unknown", "upstream", upstream, "started_at_ms", startedAtMillis);
        }
        if (unknown || !hasLeader()) {
            // The upstream turns to another instance, which may know it.
            confirmed.complete(false);
        } else {
            mWatchServer.confirmDelivery(nowNanos).thenAccept(confirmed::complete);
        }
    }

    private void publishChange(UpstreamStatus status, long nowNanos) {
        LOG.info(
                "upstream_changed",
                "upstream",
                status.id(),
                "service",
                status.service(),
                "address",
                status.address(),
                "domain",
                status.domain(),
                "phase",
                status.phase(),
                "cold_ms",
                status.coldRemainingMillis(),
                "sequence",
                status.sequence());
        mScheduler.updateUpstream(status, nowNanos);
        mWatchServer.notifyWatchers(nowNanos);
    }

    private void handleWatch(InstanceId peer, Bytes payload, boolean compact, Responder responder) {
        WatchRequest.decode(payload)
                .peekLeft(fault -> LOG.failure("frame_malformed", fault, "peer", peer))
                .peek(
                        request ->
                                mEventLoop.offer(
                                        () -> handleWatch(peer, request, compact, responder)));
    }

    private void handleWatch(
            InstanceId peer, WatchRequest request, boolean compact, Responder responder) {
        long nowNanos = mClocks.nowNanos();
        learnVerdicts(peer, request.verdicts(), nowNanos);
        mWatchServer.watch(peer, request, compact, responder, nowNanos);
    }

    /**
     * Learns verdicts of another instance. Only the leader, which all instances watch, passes them
     * on at once.
     */
    private void learnVerdicts(InstanceId peer, List<QuarantineVerdict> verdicts, long nowNanos) {
        List<QuarantineVerdict> learned = mQuarantine.merge(peer, verdicts, nowNanos);
        if (mScheduler.applyVerdicts(learned, mQuarantine, nowNanos)) {
            mWatchServer.notifyWatchers(nowNanos);
        }
    }

    private void handlePlace(InstanceId peer, Bytes payload, Responder responder) {
        mEventLoop.offer(
                () -> {
                    mScheduler.place(peer, payload, responder);
                    decideUnlessBacklogged();
                });
    }

    private void handleEvent(InstanceId peer, Bytes payload, Responder responder) {
        mEventLoop.offer(
                () -> {
                    mScheduler.handleEvent(peer, payload);
                    decideUnlessBacklogged();
                });
    }

    private void decideUnlessBacklogged() {
        long nowNanos = mClocks.nowNanos();
        if (mEventLoop.queuedTasks() == 0
                || nowNanos - mLastDecisionNanos >= MAXIMUM_DECISION_DELAY_NANOS) {
            mLastDecisionNanos = nowNanos;
            mScheduler.decide(nowNanos);
        }
    }

    private long tickIntervalMillis() {
        return mScheduler.waitingCount() > 0
                ? WAITING_TICK_INTERVAL_MILLIS
                : IDLE_TICK_INTERVAL_MILLIS;
    }

    private void handleWatchResponse(InstanceId peer, WatchResponse response) {
        long nowNanos = mClocks.nowNanos();
        learnVerdicts(peer, response.verdicts(), nowNanos);
        response.statuses()
                .forEach(
                        aged -> {
                            long lastSeenNanos =
                                    nowNanos - TimeUnit.MILLISECONDS.toNanos(aged.ageMillis());
                            mUpstreams.update(aged.status(), lastSeenNanos);
                            mScheduler.updateUpstream(aged.status(), lastSeenNanos);
                        });
        mControlInstances.updateRemoteMembers(response.membersIndex(), response.members());
        group().updateKnownInstances(mControlInstances.controlInstances());
    }

    private void updateRouting(RoutingImage image) {
        if (image.changeCount() <= mRouting.changeCount()) {
            return;
        }
        mRouting = image;
        LOG.info(
                "routing_changed",
                "version",
                image.version(),
                "changes",
                image.changeCount(),
                "domains_out",
                image.domainsOutOfService());
        if (image.version() > 0) {
            mRoutingReader
                    .apply(image.document())
                    .peekLeft(fault -> LOG.failure("routing_unreadable", fault))
                    .peek(table -> mScheduler.setRouting(table, image.domainsOutOfService()));
        }
        publishState(mClocks.nowNanos());
    }

    private void publishState(long nowNanos) {
        ReplicaStatus status = group().status();
        List<InstanceId> members = group().members();
        if (!members.equals(mMembers)) {
            mMembers = members;
            mMembersIndex = status.commitIndex();
        }
        mWatchServer.setState(
                new WatchServer.State(
                        status.term(), status.leading(), members, mMembersIndex, mRouting),
                nowNanos);
    }

    private void tick() {
        mRoutingChanges.deliver();
        long nowNanos = mClocks.nowNanos();
        mScheduler.setLeading(group().status().leading(), mUpstreams, mQuarantine, nowNanos);
        mScheduler.decide(nowNanos);
        if (mScheduler.reportVerdicts(mQuarantine, nowNanos, mClocks.nowMillis())) {
            mWatchServer.notifyWatchers(nowNanos);
        }
        publishState(nowNanos);
        mWatchServer.tick(nowNanos);
        if (nowNanos - mLastWatchTickNanos >= WATCH_TICK_INTERVAL_NANOS) {
            mLastWatchTickNanos = nowNanos;
            mWatchClient.setInstances(mControlInstances.controlInstances());
            mWatchClient.tick(nowNanos);
        }
        if (nowNanos - mLastExpiryNanos >= EXPIRY_INTERVAL_NANOS) {
            mLastExpiryNanos = nowNanos;
            mLocalUpstreams.expire(nowNanos);
            mUpstreams.expire(nowNanos);
            mQuarantine.expire(nowNanos);
            mScheduler.removeSilent(
                    mWatchServer.removeSilentEntries(ENTRY_TIMEOUT_NANOS, nowNanos), nowNanos);
        }
    }

    /** No configuration has been stored yet. */
    record NoConfiguration() implements Failure {
        @Override
        public String code() {
            return "no_configuration";
        }

        @Override
        public String message() {
            return "no configuration has been stored yet";
        }
    }
}
