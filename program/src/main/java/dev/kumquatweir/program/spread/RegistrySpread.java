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
public final class RegistrySpread implements UpstreamIntake {
    private static final EventLog LOG = EventLog.of(RegistrySpread.class);

    private final DispatchDuty mDispatch;
    private final UpstreamObservations mObservations;
    private final PeerNetwork mNetwork;
    private final List<InstanceId> mPeers;
    private final Set<UpstreamId> mResyncWanted = ConcurrentHashMap.newKeySet();

    /**
     * Registers for the frames that it takes.
     *
     * @param observations told of what upstreams say, for the limits of permits
     * @param peers the other instances
     */
    public RegistrySpread(
            DispatchDuty dispatch,
            UpstreamObservations observations,
            PeerNetwork network,
            List<InstanceId> peers) {
        mDispatch = dispatch;
        mObservations = observations;
        mNetwork = network;
        mPeers = List.copyOf(peers);
        handle(FrameType.ANNOUNCEMENT, RegistryCodec::announcement, this::take);
        handle(
                FrameType.CACHE_WANTED,
                RegistryCodec::start,
                start -> mResyncWanted.add(start.id()));
        handle(FrameType.LEAVE, RegistryCodec::start, this::leftAtPeer);
        network.handle(
                FrameType.LOAD.number(),
                (peer, payload, responder) ->
                        take(RegistryCodec.load(payload), report -> reportedByPeer(peer, report)));
        network.handle(
                FrameType.CACHE.number(),
                (peer, payload, responder) ->
                        take(
                                RegistryCodec.cacheEvents(payload),
                                events -> cacheChangedAtPeer(peer, events)));
        network.handle(
                FrameType.ANNOUNCEMENT_WANTED.number(),
                (peer, payload, responder) ->
                        take(RegistryCodec.start(payload), start -> announceAgain(peer, start)));
    }

    @Override
    public void announced(Announcement announcement) {
        take(announcement);
        spread(FrameType.ANNOUNCEMENT, RegistryCodec.encode(announcement));
    }

    @Override
    public CompletionStage<Boolean> reported(LoadReport report) {
        spread(FrameType.LOAD, RegistryCodec.encode(report));
        note(report);
        return mDispatch.reported(report);
    }

    @Override
    public CompletionStage<Boolean> cacheChanged(CacheEvents events) {
        spread(FrameType.CACHE, RegistryCodec.encode(events));
        boolean wantedByPeer = mResyncWanted.remove(events.id());
        return mDispatch.cacheChanged(events).thenApply(complete -> complete && !wantedByPeer);
    }

    @Override
    public void left(UpstreamId upstream, long incarnation) {
        mResyncWanted.remove(upstream);
        mObservations.left(upstream, incarnation);
        mDispatch.left(upstream, incarnation);
        spread(
                FrameType.LEAVE,
                RegistryCodec.encode(new RegistryCodec.Start(upstream, incarnation)));
    }

    private void take(Announcement announcement) {
        mObservations.announced(announcement);
        mDispatch.announced(announcement);
    }

    /** An upstream that was silent may be forgotten there and still known to the dispatch duty. */
    private void note(LoadReport report) {
        if (!mObservations.reported(report)) {
            mDispatch
                    .upstream(report.id())
                    .thenAccept(known -> known.ifPresent(mObservations::announced));
        }
    }

    private void reportedByPeer(InstanceId peer, LoadReport report) {
        note(report);
        mDispatch
                .reported(report)
                .thenAccept(
                        known -> {
                            if (!known) {
                                askForAnnouncement(peer, report);
                            }
                        });
    }

    private void askForAnnouncement(InstanceId peer, LoadReport report) {
        RegistryCodec.Start start = new RegistryCodec.Start(report.id(), report.incarnation());
        mNetwork.send(peer, FrameType.ANNOUNCEMENT_WANTED.number(), RegistryCodec.encode(start));
    }

    private void announceAgain(InstanceId peer, RegistryCodec.Start start) {
        mDispatch
                .upstream(start.id())
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
    private void cacheChangedAtPeer(InstanceId peer, CacheEvents events) {
        mDispatch
                .cacheChanged(events)
                .thenAccept(
                        complete -> {
                            if (!complete) {
                                RegistryCodec.Start start =
                                        new RegistryCodec.Start(events.id(), events.incarnation());
                                mNetwork.send(
                                        peer,
                                        FrameType.CACHE_WANTED.number(),
                                        RegistryCodec.encode(start));
                            }
                        });
    }

    private void leftAtPeer(RegistryCodec.Start start) {
        mObservations.left(start.id(), start.incarnation());
        mDispatch.left(start.id(), start.incarnation());
    }

    private void spread(FrameType type, Bytes payload) {
        mPeers.forEach(peer -> mNetwork.send(peer, type.number(), payload));
    }

    private <T> void handle(
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
