package dev.kumquatweir.program.control;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.transport.PeerNetwork;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Finds the leader and sends requests to it. Retries until the timeout, since all requests are safe
 * to repeat after a lost reply. Thread-safe.
 */
final class LeaderClient {
    private static final long ATTEMPT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    private static final long RETRY_DELAY_MILLIS = 40;

    private final InstanceId mSelf;
    private final PeerNetwork mNetwork;
    private final Clocks mClocks;
    private final @Nullable ReplicaEventLoop mReplica;
    private final Executor mDelayedExecutor =
            CompletableFuture.delayedExecutor(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    private volatile List<InstanceId> mVoters;
    private volatile InstanceId mLikelyLeader;
    private volatile InstanceId mLastAskedVoter;

    /**
     * @param voters instances that may be the leader, at least one
     * @param replica this instance's replica, null if it has none
     */
    LeaderClient(
            InstanceId self,
            List<InstanceId> voters,
            PeerNetwork network,
            @Nullable ReplicaEventLoop replica,
            Clocks clocks) {
        mSelf = self;
        mVoters = List.copyOf(voters);
        mLikelyLeader = voters.get(0);
        mLastAskedVoter = voters.get(0);
        mNetwork = network;
        mReplica = replica;
        mClocks = clocks;
    }

    /** Replaces the instances that may be the leader; an empty list is ignored. */
    void setVoters(List<InstanceId> voters) {
        if (!voters.isEmpty()) {
            mVoters = List.copyOf(voters);
        }
    }

    /** Returns the instance that is probably the leader. */
    InstanceId likelyLeader() {
        return localLeader().orElse(mLikelyLeader);
    }

    /**
     * Handles a reply that the instance is not the leader: switches to the leader that it named,
     * else to the next voter. A named leader need not be a known voter: an instance that was
     * removed while it was cut off doesn't know the voters of today.
     */
    void handleNotLeader(InstanceId instance, String leaderHint) {
        List<InstanceId> voters = mVoters;
        if (voters.contains(instance)) {
            mLastAskedVoter = instance;
        }
        // An instance outside the list was named by the last voter, so the voter after that is
        // next.
        InstanceId nextVoter = voters.get((voters.indexOf(mLastAskedVoter) + 1) % voters.size());
        mLikelyLeader =
                Optional.of(leaderHint)
                        .filter(hint -> !hint.isEmpty() && !hint.equals(instance.value()))
                        .map(InstanceId::new)
                        .orElse(nextVoter);
    }

    /**
     * Sends a request to the current leader, with retries until the timeout.
     *
     * @return completes normally, with {@link ControlFailure.LeaderUnreachable} after the timeout
     */
    CompletionStage<ControlReply> submit(ControlRequest request, long timeoutNanos) {
        return submit(request, mClocks.nowNanos(), timeoutNanos);
    }

    private CompletionStage<ControlReply> submit(
            ControlRequest request, long startNanos, long timeoutNanos) {
        long remainingNanos = timeoutNanos - (mClocks.nowNanos() - startNanos);
        if (remainingNanos <= 0) {
            return CompletableFuture.completedFuture(
                    new ControlReply.Failed(new ControlFailure.LeaderUnreachable()));
        }
        InstanceId target = likelyLeader();
        return send(target, request, Math.min(remainingNanos, ATTEMPT_TIMEOUT_NANOS))
                .thenCompose(
                        reply ->
                                prepareRetry(target, reply)
                                        ? retryDelay()
                                                .thenCompose(
                                                        none ->
                                                                submit(
                                                                        request,
                                                                        startNanos,
                                                                        timeoutNanos))
                                        : CompletableFuture.completedFuture(reply));
    }

    private CompletionStage<ControlReply> send(
            InstanceId target, ControlRequest request, long timeoutNanos) {
        ReplicaEventLoop replica = mReplica;
        if (target.equals(mSelf) && replica != null) {
            return replica.handle(request);
        }
        return mNetwork.request(
                        target,
                        FrameType.COMMAND.number(),
                        ControlCodec.encode(request),
                        timeoutNanos)
                .thenApply(
                        response ->
                                response.fold(
                                        failure ->
                                                new ControlReply.Failed(
                                                        new ControlFailure.LeaderUnreachable()),
                                        content ->
                                                ControlCodec.decodeReply(content)
                                                        .getOrElseGet(
                                                                LeaderClient::malformedReply)));
    }

    private boolean prepareRetry(InstanceId target, ControlReply reply) {
        if (!(reply instanceof ControlReply.Failed failed)) {
            return false;
        }
        return switch (failed.failure()) {
            case ControlFailure.NotLeader notLeader -> {
                handleNotLeader(target, notLeader.leader());
                yield true;
            }
            case ControlFailure.LeaderUnreachable _ -> {
                handleNotLeader(target, "");
                yield true;
            }
            case ControlFailure.OutcomeUncertain _ -> true;
            case ControlFailure.Refused _, ControlFailure.Malformed _ -> false;
        };
    }

    private CompletionStage<Void> retryDelay() {
        return CompletableFuture.runAsync(() -> {}, mDelayedExecutor);
    }

    private Optional<InstanceId> localLeader() {
        ReplicaEventLoop replica = mReplica;
        return replica == null ? Optional.empty() : replica.leader();
    }

    private static ControlReply malformedReply(MalformedContent fault) {
        return new ControlReply.Failed(new ControlFailure.Malformed(fault.message()));
    }
}
