package dev.kumquatweir.program.fleet;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.duty.EventLoop;
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
import dev.kumquatweir.program.control.GroupControl;
import dev.kumquatweir.program.control.ReplicaStatus;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.transport.PeerNetwork;
import dev.kumquatweir.transport.Responder;
import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * The duty {@code fleet} of a control instance: what upstreams say, who watches, and on the leader
 * the scheduler. Thread-safe.
 */
final class ControlFleet implements FleetPort {
    private static final EventLog LOG = EventLog.of(ControlFleet.class);
    private static final int RING_CAPACITY = 8_192;

    /** Waiting requests are looked at again this often without any news. */
    private static final long WAITING_TICK_MILLIS = 10;

    private static final long IDLE_TICK_MILLIS = 50;

    /** With a backlog of messages one look at the waiting requests answers several of them. */
    private static final long LATEST_LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private static final long WATCH_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long EXPIRE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long LOST_ENTRY_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Clocks mClocks;
    private final PeerBook mPeers;
    private final Function<Bytes, ? extends Either<? extends Failure, RoutingTable>> mDocuments;
    private final UpstreamDirectory mOwn = new UpstreamDirectory();
    private final UpstreamDirectory mAll = new UpstreamDirectory();
    private final WatchDesk mDesk;
    private final ControlWatch mWatch;
    private final LeaderScheduler mScheduler;
    private final EventLoop mDuty;
    private @Nullable GroupControl mGroup;
    private RoutingImage mRouting = RoutingImage.EMPTY;
    private List<InstanceId> mMembers = List.of();
    private long mMembersIndex;
    private long mLookedNanos;
    private long mWatchedNanos;
    private long mExpiredNanos;

    ControlFleet(
            InstanceId self,
            PeerNetwork network,
            PeerBook peers,
            PlacementLimits limits,
            Function<Bytes, ? extends Either<? extends Failure, RoutingTable>> documents,
            MetricRegistry metrics,
            Clocks clocks) {
        mClocks = clocks;
        mPeers = peers;
        mDocuments = documents;
        mDesk = new WatchDesk(mOwn, clocks.nowMillis());
        mScheduler = new LeaderScheduler(limits, metrics, clocks);
        mDuty =
                new EventLoop(
                        "fleet",
                        RING_CAPACITY,
                        this::tickMillis,
                        this::tick,
                        (thread, fault) -> LOG.error("fleet_fault", fault));
        mWatch =
                new ControlWatch(
                        self,
                        false,
                        network,
                        clocks,
                        mDuty::offer,
                        () -> mRouting.changeCount(),
                        this::heardPeer);
        network.handle(FrameType.WATCH.number(), this::watch);
        network.handle(FrameType.PLACE.number(), this::place);
        network.handle(FrameType.PLACEMENT_EVENT.number(), this::event);
        Gauge<Integer> upstreams = mAll::size;
        metrics.register("kumquatweir_fleet_upstreams", upstreams);
    }

    // Life-cycle.

    void start(GroupControl group) {
        mGroup = group;
        mDuty.start();
    }

    void stop() {
        mDuty.stop();
    }

    /** Takes a new routing image; from any thread. */
    void routing(RoutingImage image) {
        mDuty.offer(() -> accept(image));
    }

    // FleetPort.

    @Override
    public CompletionStage<Either<Failure, Long>> putRouting(long version, Bytes document) {
        return group().putRouting(version, document);
    }

    @Override
    public CompletionStage<Either<Failure, Bytes>> readRouting() {
        return group().readRouting()
                .thenApply(
                        image ->
                                image.flatMap(
                                        known ->
                                                known.version() == 0
                                                        ? Either.left(new NoConfiguration())
                                                        : Either.right(known.document())));
    }

    @Override
    public CompletionStage<Either<Failure, Boolean>> setDomain(FailureDomain domain, boolean out) {
        return group().setDomain(domain, out);
    }

    @Override
    public CompletionStage<Boolean> recordHeartbeat(UpstreamStatus notice) {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        if (!mDuty.offer(() -> hear(notice, answer))) {
            answer.complete(false);
        }
        return answer;
    }

    @Override
    public CompletionStage<Boolean> recordDeparture(UpstreamId upstream, long bornMillis) {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        if (!mDuty.offer(() -> leave(upstream, bornMillis, answer))) {
            answer.complete(false);
        }
        return answer;
    }

    // On the duty.

    private GroupControl group() {
        return Objects.requireNonNull(mGroup);
    }

    /** Without a leader the others may not hear of it, so the upstream has to ask elsewhere. */
    private boolean inTouch() {
        return group().leader().isPresent();
    }

    private void hear(UpstreamStatus notice, CompletableFuture<Boolean> answer) {
        if (!inTouch()) {
            answer.complete(false);
            return;
        }
        long nowNanos = mClocks.nowNanos();
        mAll.hear(notice, nowNanos);
        UpstreamDirectory.Change change = mOwn.hear(notice, nowNanos);
        if (change != UpstreamDirectory.Change.STATE) {
            mScheduler.heard(notice, nowNanos);
            boolean draining = notice.phase() != UpstreamPhase.READY;
            if (draining) {
                mDesk.confirmed(nowNanos).thenAccept(answer::complete);
            } else {
                answer.complete(true);
            }
            return;
        }
        spread(notice, nowNanos);
        mDesk.confirmed(nowNanos).thenAccept(answer::complete);
    }

    private void leave(UpstreamId upstream, long bornMillis, CompletableFuture<Boolean> answer) {
        if (!inTouch()) {
            answer.complete(false);
            return;
        }
        long nowNanos = mClocks.nowNanos();
        Optional<UpstreamStatus> left = mAll.leave(upstream, bornMillis, nowNanos);
        if (left.isEmpty()) {
            answer.complete(true);
            return;
        }
        mOwn.hear(left.get(), nowNanos);
        spread(left.get(), nowNanos);
        mDesk.confirmed(nowNanos).thenAccept(answer::complete);
    }

    private void spread(UpstreamStatus notice, long nowNanos) {
        LOG.info(
                "upstream_changed",
                "upstream",
                notice.id(),
                "service",
                notice.service(),
                "address",
                notice.address(),
                "domain",
                notice.domain(),
                "phase",
                notice.phase(),
                "cold_ms",
                notice.coldRemainingMillis(),
                "sequence",
                notice.sequence());
        mScheduler.heard(notice, nowNanos);
        mDesk.tell(nowNanos);
    }

    private void watch(InstanceId peer, Bytes payload, Responder responder) {
        WatchRequest.decode(payload)
                .peekLeft(fault -> LOG.failure("frame_malformed", fault, "peer", peer))
                .peek(
                        request ->
                                mDuty.offer(
                                        () ->
                                                mDesk.watch(
                                                        peer,
                                                        request,
                                                        responder,
                                                        mClocks.nowNanos())));
    }

    private void place(InstanceId peer, Bytes payload, Responder responder) {
        mDuty.offer(
                () -> {
                    mScheduler.place(peer, payload, responder);
                    look();
                });
    }

    private void event(InstanceId peer, Bytes payload, Responder responder) {
        mDuty.offer(
                () -> {
                    mScheduler.event(peer, payload);
                    look();
                });
    }

    private void look() {
        long nowNanos = mClocks.nowNanos();
        if (mDuty.queuedTasks() == 0 || nowNanos - mLookedNanos >= LATEST_LOOK_NANOS) {
            mLookedNanos = nowNanos;
            mScheduler.decide(nowNanos);
        }
    }

    private long tickMillis() {
        return mScheduler.waiting() > 0 ? WAITING_TICK_MILLIS : IDLE_TICK_MILLIS;
    }

    private void heardPeer(InstanceId peer, WatchAnswer answer) {
        long nowNanos = mClocks.nowNanos();
        answer.notices()
                .forEach(
                        heard -> {
                            long heardNanos =
                                    nowNanos - TimeUnit.MILLISECONDS.toNanos(heard.ageMillis());
                            mAll.hear(heard.notice(), heardNanos);
                            mScheduler.heard(heard.notice(), heardNanos);
                        });
        mPeers.heard(answer.membersIndex(), answer.members());
        group().knownInstances(mPeers.controlInstances());
    }

    private void accept(RoutingImage image) {
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
            mDocuments
                    .apply(image.document())
                    .peekLeft(fault -> LOG.failure("routing_unreadable", fault))
                    .peek(table -> mScheduler.routing(table, image.domainsOutOfService()));
        }
        tellState(mClocks.nowNanos());
    }

    private void tellState(long nowNanos) {
        ReplicaStatus status = group().status();
        List<InstanceId> members = group().members();
        if (!members.equals(mMembers)) {
            mMembers = members;
            mMembersIndex = status.commitIndex();
        }
        mDesk.state(
                new WatchDesk.State(
                        status.term(), status.leading(), members, mMembersIndex, mRouting),
                nowNanos);
    }

    private void tick() {
        long nowNanos = mClocks.nowNanos();
        mScheduler.leading(group().status().leading(), mAll, nowNanos);
        mScheduler.decide(nowNanos);
        tellState(nowNanos);
        mDesk.tick(nowNanos);
        if (nowNanos - mWatchedNanos >= WATCH_TICK_NANOS) {
            mWatchedNanos = nowNanos;
            mWatch.instances(mPeers.controlInstances());
            mWatch.tick(nowNanos);
        }
        if (nowNanos - mExpiredNanos >= EXPIRE_NANOS) {
            mExpiredNanos = nowNanos;
            mOwn.expire(nowNanos);
            mAll.expire(nowNanos);
            mScheduler.lost(mDesk.lostEntries(LOST_ENTRY_NANOS, nowNanos), nowNanos);
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
