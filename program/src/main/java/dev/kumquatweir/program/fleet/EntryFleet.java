package dev.kumquatweir.program.fleet;

import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.forward.ForwardingState;
import dev.kumquatweir.policy.placement.PlacementLimits;
import dev.kumquatweir.transport.PeerNetwork;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * What an entry instance believes: routing, upstreams and who leads, merged from all control
 * instances it can reach. Used on the I/O thread.
 */
final class EntryFleet implements ForwardingState {
    private static final EventLog LOG = EventLog.of(EntryFleet.class);

    /** A leader that has not answered for so long is not asked for placements. */
    private static final long LEADER_SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(750);

    private static final long EXPIRE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final FailureDomain mDomain;
    private final Clocks mClocks;
    private final PeerBook mPeers;
    private final Function<Bytes, ? extends Either<? extends Failure, RoutingTable>> mDocuments;
    private final UpstreamDirectory mUpstreams = new UpstreamDirectory();
    private final ControlWatch mWatch;
    private final EntryPlacement mPlacement;
    private RoutingImage mImage = RoutingImage.EMPTY;
    private volatile @Nullable RoutingTable mRouting;
    private volatile boolean mUpstreamKnown;
    private @Nullable InstanceId mLeader;
    private long mLeaderTerm;
    private long mLeaderHeardNanos;
    private long mExpiredNanos;

    EntryFleet(
            InstanceId self,
            FailureDomain domain,
            PeerNetwork network,
            PeerBook peers,
            PlacementLimits limits,
            Function<Bytes, ? extends Either<? extends Failure, RoutingTable>> documents,
            Clocks clocks,
            Executor executor) {
        mDomain = domain;
        mClocks = clocks;
        mPeers = peers;
        mDocuments = documents;
        mPlacement = new EntryPlacement(self, network, limits, clocks, executor);
        mWatch =
                new ControlWatch(
                        self,
                        true,
                        network,
                        clocks,
                        executor,
                        () -> mImage.changeCount(),
                        this::heard);
    }

    /** Returns the part that asks for upstreams. */
    EntryPlacement placement() {
        return mPlacement;
    }

    /** Checks times; due every few tens of milliseconds. */
    void tick() {
        long nowNanos = mClocks.nowNanos();
        mWatch.instances(mPeers.controlInstances());
        mWatch.tick(nowNanos);
        boolean silent = nowNanos - mLeaderHeardNanos > LEADER_SILENT_NANOS;
        if (mLeader != null && silent) {
            LOG.warn("leader_lost", "leader", mLeader, "term", mLeaderTerm);
            mLeader = null;
            mPlacement.leaderLost();
        }
        mPlacement.tick(nowNanos);
        if (nowNanos - mExpiredNanos >= EXPIRE_NANOS) {
            mExpiredNanos = nowNanos;
            mUpstreams.expire(nowNanos);
        }
    }

    /** Returns whether callers can be served; from any thread. */
    boolean serving() {
        return mRouting != null && mUpstreamKnown;
    }

    // ForwardingState.

    @Override
    public Optional<RoutingTable> routing() {
        return Optional.ofNullable(mRouting);
    }

    @Override
    public FailureDomain domain() {
        return mDomain;
    }

    @Override
    public boolean acceptsRequests(UpstreamId upstream) {
        return mUpstreams
                .find(upstream)
                .map(
                        notice ->
                                notice.phase() == UpstreamPhase.READY
                                        && !mImage.domainsOutOfService().contains(notice.domain()))
                .orElse(true);
    }

    // Helpers.

    private void heard(InstanceId peer, WatchAnswer answer) {
        long nowNanos = mClocks.nowNanos();
        mPeers.heard(answer.membersIndex(), answer.members());
        answer.routing().ifPresent(this::accept);
        answer.notices()
                .forEach(
                        heard -> {
                            long heardNanos =
                                    nowNanos - TimeUnit.MILLISECONDS.toNanos(heard.ageMillis());
                            mUpstreams.hear(heard.notice(), heardNanos);
                            mPlacement.heard(heard.notice(), heardNanos);
                        });
        mUpstreamKnown = mUpstreams.size() > 0;
        if (answer.leading() && answer.term() >= mLeaderTerm) {
            leads(peer, answer, nowNanos);
        } else if (peer.equals(mLeader) && !answer.leading()) {
            LOG.info("leader_stepped_down", "leader", peer, "term", answer.term());
            mLeader = null;
            mPlacement.leaderLost();
        }
    }

    private void leads(InstanceId peer, WatchAnswer answer, long nowNanos) {
        boolean changed = !peer.equals(mLeader) || answer.term() != mLeaderTerm;
        mLeader = peer;
        mLeaderTerm = answer.term();
        mLeaderHeardNanos = nowNanos;
        if (changed) {
            LOG.info("leader_found", "leader", peer, "term", answer.term());
            mPlacement.leaderFound(peer, answer.entries());
        }
    }

    /** Never takes an image that is older than the one in use. */
    private void accept(RoutingImage image) {
        if (image.changeCount() <= mImage.changeCount() || image.version() < mImage.version()) {
            return;
        }
        if (image.version() == 0) {
            mImage = image;
            return;
        }
        mDocuments
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
                            mImage = image;
                            mRouting = table;
                            mPlacement.routing(table, image.domainsOutOfService());
                        });
    }
}
