package dev.kumquatweir.program.spread;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.gateway.dispatch.DispatchDuty;
import dev.kumquatweir.gateway.upstream.UpstreamIntake;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.CacheEvents;
import dev.kumquatweir.policy.registry.LoadReport;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.program.permit.UpstreamObservations;
import dev.kumquatweir.transport.PeerNetwork;
import io.vavr.control.Either;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Takes what upstreams report to this instance and sends it on to its peers, and takes what peers
 * send. Nothing is sent twice: a lost frame is made good by the next report, and a peer that misses
 * an announcement asks for it when it sees a report of an upstream it does not know. Thread-safe.
 */
public final class RegistrySynchronizer implements UpstreamIntake {
    private static final EventLog LOG = EventLog.of(RegistrySynchronizer.class);

    private final DispatchDuty mDispatch;
    private final UpstreamObservations mObservations;
    private final PeerNetwork mNetwork;
    private final List<InstanceId> mPeers;
    private final Set<UpstreamId> mResyncRequested = ConcurrentHashMap.newKeySet();

    /**
     * Registers for the frames that it takes.
     *
     * @param observations told of what upstreams say, for the limits of permits
     * @param peers the other instances
     */
    public RegistrySynchronizer(
            DispatchDuty dispatch,
            UpstreamObservations observations,
            PeerNetwork network,
            List<InstanceId> peers) {
        mDispatch = dispatch;
        mObservations = observations;
        mNetwork = network;
        mPeers = List.copyOf(peers);
        registerHandler(FrameType.ANNOUNCEMENT, RegistryCodec::decodeAnnouncement, this::take);
        registerHandler(
                FrameType.CACHE_WANTED,
                RegistryCodec::decodeIncarnationKey,
                start -> mResyncRequested.add(start.id()));
        registerHandler(FrameType.LEAVE, RegistryCodec::decodeIncarnationKey, this::applyPeerLeave);
        network.handle(
                FrameType.LOAD.number(),
                (peer, payload, responder) ->
                        take(
                                RegistryCodec.decodeLoad(payload),
                                report -> applyPeerLoad(peer, report)));
        network.handle(
                FrameType.CACHE.number(),
                (peer, payload, responder) ->
                        take(
                                RegistryCodec.decodeCacheEvents(payload),
                                events -> applyPeerCacheEvents(peer, events)));
        network.handle(
                FrameType.ANNOUNCEMENT_WANTED.number(),
                (peer, payload, responder) ->
                        take(
                                RegistryCodec.decodeIncarnationKey(payload),
                                start -> sendAnnouncement(peer, start)));
    }

    @Override
    public void announced(Announcement announcement) {
        take(announcement);
        broadcast(FrameType.ANNOUNCEMENT, RegistryCodec.encode(announcement));
    }

    @Override
    public CompletionStage<Boolean> reported(LoadReport report) {
        broadcast(FrameType.LOAD, RegistryCodec.encode(report));
        recordLoad(report);
        return mDispatch.reported(report);
    }

    @Override
    public CompletionStage<Boolean> cacheChanged(CacheEvents events) {
        broadcast(FrameType.CACHE, RegistryCodec.encode(events));
        boolean wantedByPeer = mResyncRequested.remove(events.id());
        return mDispatch.cacheChanged(events).thenApply(complete -> complete && !wantedByPeer);
    }

    @Override
    public void left(UpstreamId upstream, long incarnation) {
        mResyncRequested.remove(upstream);
        mObservations.upstreamLeft(upstream, incarnation);
        mDispatch.left(upstream, incarnation);
        broadcast(
                FrameType.LEAVE,
                RegistryCodec.encode(new RegistryCodec.IncarnationKey(upstream, incarnation)));
    }

    private void take(Announcement announcement) {
        mObservations.upstreamAnnounced(announcement);
        mDispatch.announced(announcement);
    }

    /** An upstream that was silent may be forgotten there and still known to the dispatch duty. */
    private void recordLoad(LoadReport report) {
        if (!mObservations.loadReported(report)) {
            mDispatch
                    .upstream(report.id())
                    .thenAccept(known -> known.ifPresent(mObservations::upstreamAnnounced));
        }
    }

    private void applyPeerLoad(InstanceId peer, LoadReport report) {
        recordLoad(report);
        mDispatch
                .reported(report)
                .thenAccept(
                        known -> {
                            if (!known) {
                                requestAnnouncement(peer, report);
                            }
                        });
    }

    private void requestAnnouncement(InstanceId peer, LoadReport report) {
        RegistryCodec.IncarnationKey key =
                new RegistryCodec.IncarnationKey(report.id(), report.incarnation());
        mNetwork.send(peer, FrameType.ANNOUNCEMENT_WANTED.number(), RegistryCodec.encode(key));
    }

    private void sendAnnouncement(InstanceId peer, RegistryCodec.IncarnationKey key) {
        mDispatch
                .upstream(key.id())
                .thenAccept(
                        known ->
                                known.ifPresent(
                                        announcement ->
                                                mNetwork.send(
                                                        peer,
                                                        FrameType.ANNOUNCEMENT.number(),
                                                        RegistryCodec.encode(announcement))));
    }

    /** A peer that missed events has the engine's whole list sent again, through us. */
    private void applyPeerCacheEvents(InstanceId peer, CacheEvents events) {
        mDispatch
                .cacheChanged(events)
                .thenAccept(
                        complete -> {
                            if (!complete) {
                                RegistryCodec.IncarnationKey key =
                                        new RegistryCodec.IncarnationKey(
                                                events.id(), events.incarnation());
                                mNetwork.send(
                                        peer,
                                        FrameType.CACHE_WANTED.number(),
                                        RegistryCodec.encode(key));
                            }
                        });
    }

    private void applyPeerLeave(RegistryCodec.IncarnationKey key) {
        mObservations.upstreamLeft(key.id(), key.incarnation());
        mDispatch.left(key.id(), key.incarnation());
    }

    private void broadcast(FrameType type, Bytes payload) {
        mPeers.forEach(peer -> mNetwork.send(peer, type.number(), payload));
    }

    private <T> void registerHandler(
            FrameType type,
            Function<Bytes, Either<MalformedContent, T>> decoder,
            Consumer<T> consumer) {
        mNetwork.handle(
                type.number(),
                (peer, payload, responder) -> take(decoder.apply(payload), consumer));
    }

    private static <T> void take(Either<MalformedContent, T> decoded, Consumer<T> consumer) {
        decoded.peek(consumer).peekLeft(fault -> LOG.failure("frame_malformed", fault));
    }
}
