package dev.kumquatweir.program.fleet;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.forward.AvoidedUpstreams;
import dev.kumquatweir.gateway.forward.ForwardingState;
import dev.kumquatweir.gateway.forward.UpstreamResponseHead;
import dev.kumquatweir.policy.placement.PlacementLimits;
import dev.kumquatweir.policy.placement.PlacementScheduler;
import dev.kumquatweir.policy.placement.SchedulerFeatures;
import dev.kumquatweir.transport.PeerNetwork;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * An entry instance's view of the fleet: routing, upstreams and the leader, merged from the
 * responses of all reachable control instances. Confined to the I/O thread unless noted otherwise.
 */
final class EntryFleetView implements ForwardingState {
    private static final EventLog LOG = EventLog.of(EntryFleetView.class);

    /** Time without a response after which the leader no longer receives placement requests. */
    private static final long LEADER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(750);

    private static final long EXPIRY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final FailureDomain mDomain;
    private final Clocks mClocks;
    private final ControlInstanceDirectory mControlInstances;
    private final Function<Bytes, ? extends Either<? extends Failure, RoutingTable>> mRoutingReader;
    private final UpstreamDirectory mUpstreams = new UpstreamDirectory();
    private final AvoidedUpstreams mAvoided = new AvoidedUpstreams();
    private final QuarantineDirectory mQuarantine = new QuarantineDirectory();
    private final WatchClient mWatchClient;
    private final EntryPlacement mPlacement;
    private BooleanSupplier mCutOff = () -> false;
    private int mCallerPort;
    private volatile List<InstanceId> mCarriers = List.of();
    private RoutingImage mRoutingImage = RoutingImage.EMPTY;
    private volatile @Nullable RoutingTable mRoutingTable;
    private volatile boolean mHasUpstreams;
    private @Nullable InstanceId mLeader;
    private long mLeaderTerm;
    private long mLeaderLastSeenNanos;
    private long mLastExpiryNanos;

    EntryFleetView(
            InstanceId self,
            FailureDomain domain,
            PeerNetwork network,
            ControlInstanceDirectory controlInstances,
            PlacementLimits limits,
            SchedulerFeatures features,
            Function<Bytes, ? extends Either<? extends Failure, RoutingTable>> routingReader,
            MetricRegistry metrics,
            Clocks clocks,
            Executor executor) {
        mDomain = domain;
        mClocks = clocks;
        mControlInstances = controlInstances;
        mRoutingReader = routingReader;
        mPlacement =
                new EntryPlacement(
                        self,
                        SchedulerLink.over(network),
                        mQuarantine,
                        new PlacementScheduler(limits, features),
                        clocks,
                        executor);
        mWatchClient =
                new WatchClient(
                        self,
                        true,
                        mQuarantine,
                        network,
                        clocks,
                        executor,
                        () -> mRoutingImage.changeCount(),
                        () -> mCutOff.getAsBoolean(),
                        this::handleWatchResponse);
        Gauge<Integer> quarantinedParts = mQuarantine::quarantinedCount;
        metrics.register("kumquatweir_forward_quarantined_parts", quarantinedParts);
    }

    /**
     * Sets what tells whether this instance reaches upstreams. Called before the first tick.
     *
     * @param callerPort port on which all entry instances serve callers
     */
    void setReach(BooleanSupplier cutOff, int callerPort) {
        mCutOff = cutOff;
        mCallerPort = callerPort;
    }

    /** Returns the placement client that requests upstreams. */
    EntryPlacement placement() {
        return mPlacement;
    }

    /** Handles timeouts and sends watch requests. Must be called every few tens of milliseconds. */
    void tick() {
        long nowNanos = mClocks.nowNanos();
        mWatchClient.setInstances(mControlInstances.controlInstances());
        mWatchClient.tick(nowNanos);
        boolean leaderTimedOut = nowNanos - mLeaderLastSeenNanos > LEADER_TIMEOUT_NANOS;
        if (mLeader != null && leaderTimedOut) {
            LOG.warn("leader_lost", "leader", mLeader, "term", mLeaderTerm);
            mLeader = null;
            mPlacement.clearLeader();
        }
        mPlacement.tick(nowNanos);
        if (nowNanos - mLastExpiryNanos >= EXPIRY_INTERVAL_NANOS) {
            mLastExpiryNanos = nowNanos;
            mUpstreams.expire(nowNanos);
            mQuarantine.expire(nowNanos);
            mAvoided.expire(mUpstreams.ids(), nowNanos);
        }
    }

    /** Returns whether callers can be served; may be called from any thread. */
    boolean serving() {
        return mRoutingTable != null && mHasUpstreams;
    }

    // ForwardingState.

    @Override
    public Optional<RoutingTable> routing() {
        return Optional.ofNullable(mRoutingTable);
    }

    @Override
    public List<UpstreamStatus> upstreams() {
        return mUpstreams.present();
    }

    @Override
    public List<String> carriers() {
        return mCarriers.stream().map(carrier -> carrier.value() + ":" + mCallerPort).toList();
    }

    @Override
    public FailureDomain domain() {
        return mDomain;
    }

    @Override
    public boolean acceptsRequests(UpstreamId upstream) {
        if (mAvoided.avoids(upstream, startMillis(upstream), mClocks.nowNanos())) {
            return false;
        }
        return mUpstreams
                .find(upstream)
                .map(
                        status ->
                                status.phase() == UpstreamPhase.READY
                                        && !mRoutingImage
                                                .domainsOutOfService()
                                                .contains(status.domain()))
                .orElse(true);
    }

    @Override
    public void recordResponse(UpstreamId upstream, UpstreamResponseHead head, long nowNanos) {
        if (head.leaving() || head.pauseMillis() > 0) {
            LOG.info(
                    "upstream_avoided",
                    "upstream",
                    upstream,
                    "leaving",
                    head.leaving(),
                    "pause_ms",
                    head.pauseMillis());
            mAvoided.record(upstream, head, startMillis(upstream), nowNanos);
        }
    }

    @Override
    public Set<UpstreamId> avoidedUpstreams(long nowNanos) {
        return mAvoided.avoided(this::startMillis, nowNanos);
    }

    private long startMillis(UpstreamId upstream) {
        return mUpstreams.find(upstream).map(UpstreamStatus::startedAtMillis).orElse(0L);
    }

    // Helpers.

    private void handleWatchResponse(InstanceId peer, WatchResponse response) {
        long nowNanos = mClocks.nowNanos();
        mControlInstances.updateRemoteMembers(response.membersIndex(), response.members());
        response.newerRouting().ifPresent(this::updateRouting);
        mPlacement.applyVerdicts(mQuarantine.merge(peer, response.verdicts(), nowNanos), nowNanos);
        response.statuses()
                .forEach(
                        aged -> {
                            long lastSeenNanos =
                                    nowNanos - TimeUnit.MILLISECONDS.toNanos(aged.ageMillis());
                            mUpstreams.update(aged.status(), lastSeenNanos);
                            mPlacement.updateUpstream(aged.status(), lastSeenNanos);
                        });
        mCarriers = response.carriers();
        mHasUpstreams = mUpstreams.size() > 0;
        if (response.leading() && response.term() >= mLeaderTerm) {
            updateLeader(peer, response, nowNanos);
        } else if (peer.equals(mLeader) && !response.leading()) {
            LOG.info("leader_stepped_down", "leader", peer, "term", response.term());
            mLeader = null;
            mPlacement.clearLeader();
        }
    }

    private void updateLeader(InstanceId peer, WatchResponse response, long nowNanos) {
        boolean changed = !peer.equals(mLeader) || response.term() != mLeaderTerm;
        mLeader = peer;
        mLeaderTerm = response.term();
        mLeaderLastSeenNanos = nowNanos;
        if (changed) {
            LOG.info("leader_found", "leader", peer, "term", response.term());
            mPlacement.setLeader(peer, response.entryCount());
        }
    }

    /** Updates the routing unless the image is older than the one in use. */
    private void updateRouting(RoutingImage image) {
        if (image.changeCount() <= mRoutingImage.changeCount()
                || image.version() < mRoutingImage.version()) {
            return;
        }
        if (image.version() == 0) {
            mRoutingImage = image;
            return;
        }
        mRoutingReader
                .apply(image.document())
                .peekLeft(fault -> LOG.failure("routing_unreadable", fault))
                .peek(
                        table -> {
                            LOG.info(
                                    "routing_taken",
                                    "version",
                                    image.version(),
                                    "domains_out",
                                    image.domainsOutOfService());
                            mRoutingImage = image;
                            mRoutingTable = table;
                            mPlacement.setRouting(table, image.domainsOutOfService());
                        });
    }
}
