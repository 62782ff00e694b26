package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.transport.PeerNetwork;
import dev.kumquatweir.transport.RefusalReason;
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
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Watches all known control instances for changes by long polling. A missing response marks an
 * instance as unreachable. Confined to the thread of its executor.
 */
final class WatchClient {
    private static final EventLog LOG = EventLog.of(WatchClient.class);

    /** Shorter for the leader, so that local placement takes over soon after the leader is lost. */
    private static final long LEADER_WAIT_MILLIS = 350;

    private static final long WAIT_MILLIS = 1_000;
    private static final long RESPONSE_MARGIN_MILLIS = 500;
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private final InstanceId mSelf;
    private final boolean mIsEntry;
    private final QuarantineDirectory mQuarantine;
    private final PeerNetwork mNetwork;
    private final Clocks mClocks;
    private final Executor mExecutor;
    private final LongSupplier mRoutingChangeCount;
    private final BooleanSupplier mCutOff;
    private final BiConsumer<InstanceId, WatchResponse> mListener;
    private final Map<InstanceId, WatchState> mStates = new LinkedHashMap<>();

    /** State of the watch on one control instance. */
    private static final class WatchState {
        private boolean mRequestPending;
        private boolean mLeading;
        private boolean mUnreachable;

        /** Cleared if the instance is of a version that has no compressed documents. */
        private boolean mCompact = true;

        private final WatchProgress mProgress = new WatchProgress();
        private long mNextRequestNanos;
    }

    /**
     * Creates a client that does not watch any instance yet.
     *
     * @param isEntry whether this instance serves callers
     * @param quarantine verdicts on parts of prompts known to this instance
     * @param executor runs response handlers
     * @param routingChangeCount change count of the routing image known to this instance
     * @param cutOff whether this instance reaches no upstream
     * @param listener called with each response
     */
    WatchClient(
            InstanceId self,
            boolean isEntry,
            QuarantineDirectory quarantine,
            PeerNetwork network,
            Clocks clocks,
            Executor executor,
            LongSupplier routingChangeCount,
            BooleanSupplier cutOff,
            BiConsumer<InstanceId, WatchResponse> listener) {
        mSelf = self;
        mIsEntry = isEntry;
        mQuarantine = quarantine;
        mNetwork = network;
        mClocks = clocks;
        mExecutor = executor;
        mRoutingChangeCount = routingChangeCount;
        mCutOff = cutOff;
        mListener = listener;
    }

    /** Sets the instances to watch; this instance itself is skipped. */
    void setInstances(List<InstanceId> instances) {
        Map<InstanceId, WatchState> previousStates = new HashMap<>(mStates);
        mStates.clear();
        instances.stream()
                .filter(instance -> !instance.equals(mSelf))
                .forEach(
                        instance ->
                                mStates.put(
                                        instance,
                                        previousStates.getOrDefault(instance, new WatchState())));
    }

    /**
     * Sends a request to each instance without a pending one. Must be called every few tens of
     * milliseconds.
     */
    void tick(long nowNanos) {
        mStates.forEach(
                (peer, state) -> {
                    if (!state.mRequestPending && nowNanos - state.mNextRequestNanos >= 0) {
                        sendRequest(peer, state, nowNanos);
                    }
                });
    }

    private void sendRequest(InstanceId peer, WatchState state, long nowNanos) {
        state.mRequestPending = true;
        long waitMillis = state.mLeading ? LEADER_WAIT_MILLIS : WAIT_MILLIS;
        WatchRequest request =
                state.mProgress.nextRequest(
                        mRoutingChangeCount.getAsLong(),
                        mQuarantine.changedSince(0, nowNanos),
                        mIsEntry,
                        mCutOff.getAsBoolean(),
                        waitMillis);
        boolean compact = state.mCompact;
        FrameType type = compact ? FrameType.WATCH_COMPACT : FrameType.WATCH;
        CompletionStage<Either<TransportFailure, Bytes>> response =
                mNetwork.request(
                        peer,
                        type.number(),
                        request.encode(),
                        TimeUnit.MILLISECONDS.toNanos(waitMillis + RESPONSE_MARGIN_MILLIS));
        response.thenAccept(
                content ->
                        mExecutor.execute(
                                () -> handleResponse(peer, state, request, compact, content)));
    }

    private void handleResponse(
            InstanceId peer,
            WatchState state,
            WatchRequest request,
            boolean compact,
            Either<TransportFailure, Bytes> content) {
        state.mRequestPending = false;
        if (mStates.get(peer) != state) {
            return;
        }
        if (compact && isUnknownType(content)) {
            state.mCompact = false;
            sendRequest(peer, state, mClocks.nowNanos());
            return;
        }
        if (content.isLeft()) {
            handleFailure(peer, state, content.getLeft());
            return;
        }
        Either<?, WatchResponse> response =
                (compact
                                ? WatchResponse.decodeCompact(content.get())
                                : WatchResponse.decode(content.get()))
                        .peekLeft(fault -> LOG.failure("watch_malformed", fault, "peer", peer));
        if (response.isLeft()) {
            state.mNextRequestNanos = mClocks.nowNanos() + RETRY_DELAY_NANOS;
            return;
        }
        if (state.mUnreachable) {
            state.mUnreachable = false;
            LOG.info("control_regained", "peer", peer, "term", response.get().term());
        }
        state.mLeading = response.get().leading();
        state.mProgress.recordResponse(request, response.get());
        mListener.accept(peer, response.get());
        if (mStates.get(peer) == state) {
            sendRequest(peer, state, mClocks.nowNanos());
        }
    }

    private static boolean isUnknownType(Either<TransportFailure, Bytes> content) {
        return content.isLeft()
                && content.getLeft() instanceof TransportFailure.Refused refused
                && refused.reason() == RefusalReason.NO_HANDLER;
    }

    private void handleFailure(InstanceId peer, WatchState state, TransportFailure failure) {
        state.mNextRequestNanos = mClocks.nowNanos() + RETRY_DELAY_NANOS;
        state.mLeading = false;
        // The instance may come back with another version.
        state.mCompact = true;
        state.mProgress.recordFailure();
        if (!state.mUnreachable) {
            state.mUnreachable = true;
            LOG.failure("control_lost", failure, "peer", peer);
        }
    }
}
