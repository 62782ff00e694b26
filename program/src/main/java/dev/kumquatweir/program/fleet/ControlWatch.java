package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.transport.PeerNetwork;
import dev.kumquatweir.transport.TransportFailure;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * Asks each known control instance, all the time, for what has changed. A silent one shows by its
 * missing answer. Used on the thread of its executor.
 */
final class ControlWatch {
    private static final EventLog LOG = EventLog.of(ControlWatch.class);

    /** The leader is asked more often: work falls back on this instance soon after it is silent. */
    private static final long LEADER_HOLD_MILLIS = 350;

    private static final long HOLD_MILLIS = 1_000;
    private static final long ANSWER_MILLIS = 500;
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private final InstanceId mSelf;
    private final boolean mEntry;
    private final PeerNetwork mNetwork;
    private final Clocks mClocks;
    private final Executor mExecutor;
    private final LongSupplier mRoutingChanges;
    private final BiConsumer<InstanceId, WatchAnswer> mListener;
    private final Map<InstanceId, Watched> mWatched = new LinkedHashMap<>();

    /** What is known of one control instance. */
    private static final class Watched {
        private boolean mAsking;
        private boolean mLeading;
        private boolean mLost;
        private long mLife;
        private long mRevision;
        private long mNotBeforeNanos;
    }

    /**
     * Makes a watch of no instance.
     *
     * @param entry whether this instance serves callers
     * @param executor runs answers
     * @param routingChanges change count of the routing image that is known here
     * @param listener takes each answer
     */
    ControlWatch(
            InstanceId self,
            boolean entry,
            PeerNetwork network,
            Clocks clocks,
            Executor executor,
            LongSupplier routingChanges,
            BiConsumer<InstanceId, WatchAnswer> listener) {
        mSelf = self;
        mEntry = entry;
        mNetwork = network;
        mClocks = clocks;
        mExecutor = executor;
        mRoutingChanges = routingChanges;
        mListener = listener;
    }

    /** Sets the instances to watch; this one is left out. */
    void instances(List<InstanceId> instances) {
        Map<InstanceId, Watched> before = new HashMap<>(mWatched);
        mWatched.clear();
        instances.stream()
                .filter(each -> !each.equals(mSelf))
                .forEach(each -> mWatched.put(each, before.getOrDefault(each, new Watched())));
    }

    /** Asks each instance that is not being asked; due every few tens of milliseconds. */
    void tick(long nowNanos) {
        mWatched.forEach(
                (peer, watched) -> {
                    if (!watched.mAsking && nowNanos - watched.mNotBeforeNanos >= 0) {
                        ask(peer, watched);
                    }
                });
    }

    private void ask(InstanceId peer, Watched watched) {
        watched.mAsking = true;
        long hold = watched.mLeading ? LEADER_HOLD_MILLIS : HOLD_MILLIS;
        WatchRequest request =
                new WatchRequest(
                        mRoutingChanges.getAsLong(),
                        watched.mLife,
                        watched.mRevision,
                        mEntry,
                        hold);
        CompletionStage<Either<TransportFailure, Bytes>> answer =
                mNetwork.request(
                        peer,
                        FrameType.WATCH.number(),
                        request.encode(),
                        TimeUnit.MILLISECONDS.toNanos(hold + ANSWER_MILLIS));
        answer.thenAccept(content -> mExecutor.execute(() -> answered(peer, watched, content)));
    }

    private void answered(
            InstanceId peer, Watched watched, Either<TransportFailure, Bytes> content) {
        watched.mAsking = false;
        if (mWatched.get(peer) != watched) {
            return;
        }
        if (content.isLeft()) {
            lost(peer, watched, content.getLeft());
            return;
        }
        Either<?, WatchAnswer> answer =
                WatchAnswer.decode(content.get())
                        .peekLeft(fault -> LOG.failure("watch_malformed", fault, "peer", peer));
        if (answer.isLeft()) {
            watched.mNotBeforeNanos = mClocks.nowNanos() + PAUSE_NANOS;
            return;
        }
        if (watched.mLost) {
            watched.mLost = false;
            LOG.info("control_regained", "peer", peer, "term", answer.get().term());
        }
        watched.mLeading = answer.get().leading();
        watched.mLife = answer.get().directoryLife();
        watched.mRevision = answer.get().directoryRevision();
        mListener.accept(peer, answer.get());
        if (mWatched.get(peer) == watched) {
            ask(peer, watched);
        }
    }

    private void lost(InstanceId peer, Watched watched, TransportFailure failure) {
        watched.mNotBeforeNanos = mClocks.nowNanos() + PAUSE_NANOS;
        watched.mLeading = false;
        if (!watched.mLost) {
            watched.mLost = true;
            LOG.failure("control_lost", failure, "peer", peer);
        }
    }
}
