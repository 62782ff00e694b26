package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.state.ClaimDecisions;
import dev.kumquatweir.agreement.state.ClaimKey;
import dev.kumquatweir.agreement.state.Claimant;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.agreement.state.StateResult;
import dev.kumquatweir.core.control.ClaimDecision;
import dev.kumquatweir.core.control.ClaimOutcome;
import dev.kumquatweir.core.control.ClaimPort;
import dev.kumquatweir.core.control.ClaimRequest;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/** Decides claims through the replicated log. Thread-safe. */
final class ReplicatedClaims implements ClaimPort {
    private static final EventLog LOG = EventLog.of(ReplicatedClaims.class);
    private static final long CLAIM_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long OUTCOME_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(15);

    /**
     * Time for which abandoning a claim is retried. After that, the claim's own time limit turns
     * its outcome to unknown.
     */
    private static final long ABANDON_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(2);

    /** Time after the claim was requested within which a granted request must be sent. */
    private static final long SEND_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long START_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final InstanceId mSelf;
    private final long mProcessNonce;
    private final LeaderClient mLeader;
    private volatile long mIncarnation;
    private volatile boolean mStopped;

    ReplicatedClaims(InstanceId self, long processNonce, LeaderClient leader) {
        mSelf = self;
        mProcessNonce = processNonce;
        mLeader = leader;
    }

    /**
     * Registers this start of the instance to obtain an incarnation number. Claims are unavailable
     * until it is committed.
     */
    void start() {
        StateCommand command = new StateCommand.StartInstance(0, mSelf, mProcessNonce);
        mLeader.submit(new ControlRequest.Propose(command), START_TIMEOUT_NANOS)
                .thenAccept(
                        reply -> {
                            if (reply instanceof ControlReply.Applied applied
                                    && applied.result()
                                            instanceof StateResult.InstanceStarted started) {
                                mIncarnation = started.incarnation();
                                LOG.info("incarnation_agreed", "incarnation", mIncarnation);
                            } else if (!mStopped) {
                                start();
                            }
                        });
    }

    void stop() {
        mStopped = true;
    }

    @Override
    public CompletionStage<ClaimDecision> claim(ClaimRequest request, long nowNanos) {
        if (mIncarnation == 0) {
            return CompletableFuture.completedFuture(new ClaimDecision.Unavailable());
        }
        StateCommand command =
                new StateCommand.Claim(
                        0,
                        claimant(request),
                        key(request),
                        request.requestHash(),
                        request.timeLimitMillis());
        return mLeader.submit(new ControlRequest.Propose(command), CLAIM_TIMEOUT_NANOS)
                .thenApply(reply -> decision(request, reply, nowNanos + SEND_WINDOW_NANOS));
    }

    @Override
    public CompletionStage<Boolean> recordOutcome(ClaimRequest request, ClaimOutcome outcome) {
        return record(request, outcome, OUTCOME_TIMEOUT_NANOS);
    }

    private CompletionStage<Boolean> record(
            ClaimRequest request, ClaimOutcome outcome, long timeoutNanos) {
        StateCommand command =
                new StateCommand.RecordOutcome(0, claimant(request), key(request), outcome);
        return mLeader.submit(new ControlRequest.Propose(command), timeoutNanos)
                .thenApply(
                        reply ->
                                reply instanceof ControlReply.Applied applied
                                        && applied.result() instanceof StateResult.OutcomeRecorded);
    }

    private ClaimDecision decision(ClaimRequest request, ControlReply reply, long sendByNanos) {
        if (!(reply instanceof ControlReply.Applied applied)) {
            abandon(request);
            return new ClaimDecision.Unavailable();
        }
        if (applied.result() instanceof StateResult.ClaimRefused refused) {
            LOG.warn("claim_refused", "request", request.requestId(), "reason", refused.reason());
        }
        return ClaimDecisions.of(applied.result(), sendByNanos);
    }

    /** Abandons a claim that may be in the log although its result was lost; it won't be used. */
    private void abandon(ClaimRequest request) {
        record(request, new ClaimOutcome.NotExecuted(), ABANDON_TIMEOUT_NANOS)
                .thenAccept(
                        agreed ->
                                LOG.info(
                                        "claim_abandoned",
                                        "request",
                                        request.requestId(),
                                        "agreed",
                                        agreed));
    }

    private Claimant claimant(ClaimRequest request) {
        return new Claimant(request.requestId(), mSelf, mIncarnation);
    }

    private static ClaimKey key(ClaimRequest request) {
        return new ClaimKey(request.team(), request.key());
    }
}
