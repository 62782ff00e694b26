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
 * Finds the leader and asks it. All requests may be sent again after a lost answer, so it goes on
 * until the time limit. Thread-safe.
 */
final class LeaderClient {
    private static final long TRY_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    private static final long PAUSE_MILLIS = 40;

    private final InstanceId mSelf;
    private final PeerNetwork mNetwork;
    private final Clocks mClocks;
    private final @Nullable ReplicaDuty mReplica;
    private final Executor mLater =
            CompletableFuture.delayedExecutor(PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    private volatile List<InstanceId> mVoters;
    private volatile InstanceId mBelievedLeader;

    /**
     * @param voters instances that may lead, at least one
     * @param replica this instance's replica, null if it has none
     */
    LeaderClient(
            InstanceId self,
            List<InstanceId> voters,
            PeerNetwork network,
            @Nullable ReplicaDuty replica,
            Clocks clocks) {
        mSelf = self;
        mVoters = List.copyOf(voters);
        mBelievedLeader = voters.get(0);
        mNetwork = network;
        mReplica = replica;
        mClocks = clocks;
    }

    /** Replaces the instances that may lead; an empty list is ignored. */
    void voters(List<InstanceId> voters) {
        if (!voters.isEmpty()) {
            mVoters = List.copyOf(voters);
        }
    }

    /** Returns who probably leads. */
    InstanceId believedLeader() {
        return localLeader().orElse(mBelievedLeader);
    }

    /** Takes an answer that the instance does not lead: follows its hint, or tries the next. */
    void notLeading(InstanceId asked, String hint) {
        List<InstanceId> voters = mVoters;
        Optional<InstanceId> hinted =
                voters.stream().filter(voter -> voter.value().equals(hint)).findFirst();
        InstanceId next = voters.get((voters.indexOf(asked) + 1) % voters.size());
        mBelievedLeader = hinted.filter(leader -> !leader.equals(asked)).orElse(next);
    }

    /**
     * Asks the leader, whoever that is, until the time limit.
     *
     * @return completes normally, with {@link ControlFailure.LeaderUnreachable} after the time
     *     limit
     */
    CompletionStage<ControlReply> ask(ControlRequest request, long limitNanos) {
        return ask(request, mClocks.nowNanos(), limitNanos);
    }

    private CompletionStage<ControlReply> ask(
            ControlRequest request, long startNanos, long limitNanos) {
        long remaining = limitNanos - (mClocks.nowNanos() - startNanos);
        if (remaining <= 0) {
            return CompletableFuture.completedFuture(
                    new ControlReply.Failed(new ControlFailure.LeaderUnreachable()));
        }
        InstanceId target = believedLeader();
        return send(target, request, Math.min(remaining, TRY_NANOS))
                .thenCompose(
                        reply ->
                                askAgain(target, reply)
                                        ? pause().thenCompose(
                                                        none ->
                                                                ask(
                                                                        request,
                                                                        startNanos,
                                                                        limitNanos))
                                        : CompletableFuture.completedFuture(reply));
    }

    private CompletionStage<ControlReply> send(
            InstanceId target, ControlRequest request, long timeoutNanos) {
        ReplicaDuty replica = mReplica;
        if (target.equals(mSelf) && replica != null) {
            return replica.handle(request);
        }
        return mNetwork.request(
                        target,
                        FrameType.COMMAND.number(),
                        ControlCodec.encode(request),
                        timeoutNanos)
                .thenApply(
                        answer ->
                                answer.fold(
                                        failure ->
                                                new ControlReply.Failed(
                                                        new ControlFailure.LeaderUnreachable()),
                                        content ->
                                                ControlCodec.reply(content)
                                                        .getOrElseGet(LeaderClient::garbled)));
    }

    private boolean askAgain(InstanceId target, ControlReply reply) {
        if (!(reply instanceof ControlReply.Failed failed)) {
            return false;
        }
        return switch (failed.failure()) {
            case ControlFailure.NotLeader none -> {
                notLeading(target, none.leader());
                yield true;
            }
            case ControlFailure.LeaderUnreachable _ -> {
                notLeading(target, "");
                yield true;
            }
            case ControlFailure.OutcomeUncertain _ -> true;
            case ControlFailure.Refused _, ControlFailure.Malformed _ -> false;
        };
    }

    private CompletionStage<Void> pause() {
        return CompletableFuture.runAsync(() -> {}, mLater);
    }

    private Optional<InstanceId> localLeader() {
        ReplicaDuty replica = mReplica;
        return replica == null ? Optional.empty() : replica.leader();
    }

    private static ControlReply garbled(MalformedContent fault) {
        return new ControlReply.Failed(new ControlFailure.Malformed(fault.message()));
    }
}
