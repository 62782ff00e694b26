package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.codec.CommandCodec;
import dev.kumquatweir.agreement.lease.ConfigurationLeaseTable;
import dev.kumquatweir.agreement.lease.LeaseGrant;
import dev.kumquatweir.agreement.lease.LeaseRequest;
import dev.kumquatweir.agreement.lease.LeaseTimes;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import dev.kumquatweir.agreement.raft.MembershipChange;
import dev.kumquatweir.agreement.raft.RaftInput;
import dev.kumquatweir.agreement.raft.RaftMessage;
import dev.kumquatweir.agreement.raft.RaftNode;
import dev.kumquatweir.agreement.raft.RaftOutput;
import dev.kumquatweir.agreement.raft.RaftRole;
import dev.kumquatweir.agreement.raft.RaftSettings;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.agreement.state.StateLimits;
import dev.kumquatweir.agreement.state.StateMachine;
import dev.kumquatweir.agreement.state.StateResult;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.duty.EventLoop;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.policy.permit.PermitGrant;
import dev.kumquatweir.policy.permit.PermitRequest;
import dev.kumquatweir.program.permit.PermitIssuer;
import dev.kumquatweir.storage.StorageDuty;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Runs this instance's Raft replica on the event loop {@code control}. The event loop owns the Raft
 * node, the state machine and, on the leader, the configuration leases and permits. All non-private
 * methods except {@link #start} and {@link #stop} are thread-safe and never block.
 */
final class ReplicaEventLoop {
    private static final EventLog LOG = EventLog.of(ReplicaEventLoop.class);
    private static final ControlFailure OVERLOADED =
            new ControlFailure.Refused("overloaded", "the queue of the control event loop is full");
    private static final int QUEUE_CAPACITY = 8_192;
    private static final int STORAGE_QUEUE_CAPACITY = 1_024;
    private static final int MAXIMUM_LEASES = 1_024;
    private static final long TICK_INTERVAL_MILLIS = 20;
    private static final long CLAIM_EXPIRY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Clocks mClocks;
    private final Consumer<RaftMessage> mSender;
    private final Consumer<Membership> mOnMembershipChange;
    private final RoutingChangeNotifier mRoutingNotifier;
    private final int mVoterTarget;
    private final RaftNode mNode;
    private final StorageSignals mSignals;
    private final StorageDuty mStorage;
    private final EventLoop mEventLoop;
    private final SnapshotEncoder mSnapshots;
    private final ConfigurationLeaseTable mLeases =
            new ConfigurationLeaseTable(LeaseTimes.STANDARD, MAXIMUM_LEASES);
    private final PermitIssuer mPermits;
    private final PendingReplies mPendingReplies = new PendingReplies();
    private final Deque<StorageWrite> mUnsubmittedWrites = new ArrayDeque<>();
    private StateMachine mState = new StateMachine(StateLimits.STANDARD);
    private Optional<Bytes> mFirstConfiguration;
    private Membership mKnownMembership = Membership.EMPTY;
    private long mLastClaimExpiryNanos;
    private boolean mStorageFull;
    private volatile Optional<InstanceId> mLeader = Optional.empty();
    private volatile ReplicaStatus mStatus = ReplicaStatus.NONE;

    /**
     * Creates an event loop that is not yet running.
     *
     * @param settings Raft settings of the replica
     * @param self this instance
     * @param stored state read from the log store
     * @param store the loaded log store; closed by {@link #stop}
     * @param ports dependencies and callbacks
     * @param firstConfiguration first document of a new cluster, proposed by its first leader
     */
    ReplicaEventLoop(
            RaftSettings settings,
            InstanceId self,
            StoredState stored,
            LogStore store,
            ReplicaPorts ports,
            Optional<Bytes> firstConfiguration) {
        mClocks = ports.clocks();
        mSender = ports.sender();
        mOnMembershipChange = ports.onMembershipChange();
        mRoutingNotifier = new RoutingChangeNotifier(ports.onRoutingChange());
        mVoterTarget = ports.voterTarget();
        mPermits = new PermitIssuer(ports.observations());
        mFirstConfiguration = firstConfiguration;
        mNode =
                new RaftNode(
                        settings,
                        self.value(),
                        stored,
                        RandomGenerator.getDefault(),
                        mClocks.nowNanos());
        mSignals =
                new StorageSignals(
                        completion -> step(new RaftInput.StorageSynced(completion)),
                        ports.onFatal());
        mStorage = new StorageDuty(store, STORAGE_QUEUE_CAPACITY, mSignals);
        mSnapshots = new SnapshotEncoder(taken -> offer(() -> snapshotTaken(taken)));
        mEventLoop =
                new EventLoop(
                        "control",
                        QUEUE_CAPACITY,
                        TICK_INTERVAL_MILLIS,
                        this::tick,
                        (thread, fault) -> {
                            LOG.error("control_fault", fault);
                            ports.onFatal().run();
                        });
    }

    void start() {
        mStorage.start();
        mSnapshots.start();
        mEventLoop.start();
        offer(() -> executeOutputs(mNode.start()));
    }

    void stop() {
        mEventLoop.stop();
        mSnapshots.stop();
        mStorage.close();
    }

    /** Returns the leader known to this replica. */
    Optional<InstanceId> leader() {
        return mLeader;
    }

    /** Returns the status of this replica, at most one tick interval old. */
    ReplicaStatus status() {
        return mStatus;
    }

    /** Handles a message of another replica. */
    void receive(RaftMessage message) {
        step(new RaftInput.Receive(message));
    }

    /** Grants a configuration lease; empty unless this replica may grant one now. */
    CompletionStage<Optional<LeaseGrant>> grant(LeaseRequest request) {
        CompletableFuture<Optional<LeaseGrant>> result = new CompletableFuture<>();
        boolean accepted =
                mEventLoop.offer(
                        () -> {
                            long nowNanos = mClocks.nowNanos();
                            result.complete(
                                    mLeases.grant(
                                            request,
                                            mNode.leaderLeaseNanos(nowNanos),
                                            mState.configurationVersion(),
                                            mState.configurationDocument(),
                                            nowNanos));
                        });
        if (!accepted) {
            result.complete(Optional.empty());
        }
        return result;
    }

    /** Renews permits; empty unless this replica may decide on them now. */
    CompletionStage<Optional<PermitGrant>> renew(PermitRequest request) {
        CompletableFuture<Optional<PermitGrant>> result = new CompletableFuture<>();
        if (!mEventLoop.offer(() -> result.complete(renewNow(request)))) {
            result.complete(Optional.empty());
        }
        return result;
    }

    private Optional<PermitGrant> renewNow(PermitRequest request) {
        long nowNanos = mClocks.nowNanos();
        return mPermits.renew(request, mNode.leaderLeaseNanos(nowNanos), nowNanos);
    }

    /** Executes a request; the stage never completes exceptionally. */
    CompletionStage<ControlReply> handle(ControlRequest request) {
        CompletableFuture<ControlReply> reply = new CompletableFuture<>();
        if (!mEventLoop.offer(() -> execute(request, reply))) {
            reply.complete(new ControlReply.Failed(OVERLOADED));
        }
        return reply;
    }

    /** Transfers leadership to another voter; completes at once if this replica is no leader. */
    CompletionStage<ControlReply> transferLeadership() {
        CompletableFuture<ControlReply> reply = new CompletableFuture<>();
        if (!mEventLoop.offer(() -> transferLeadership(reply))) {
            reply.complete(new ControlReply.Failed(OVERLOADED));
        }
        return reply;
    }

    private void transferLeadership(CompletableFuture<ControlReply> reply) {
        Optional<MemberId> target =
                mNode.membership().voters().stream()
                        .filter(voter -> !voter.equals(mNode.self()))
                        .min(Comparator.comparing(this::contactAgeNanos));
        if (mNode.role() != RaftRole.LEADER || target.isEmpty()) {
            reply.complete(new ControlReply.Done());
            return;
        }
        long id = mPendingReplies.add(reply);
        stepNow(new RaftInput.TransferLeadership(id, target.get().name()));
    }

    private long contactAgeNanos(MemberId member) {
        return mNode.contactAgeNanos(member, mClocks.nowNanos()).orElse(0);
    }

    private void execute(ControlRequest request, CompletableFuture<ControlReply> reply) {
        switch (request) {
            case ControlRequest.Propose propose -> propose(propose.command(), reply);
            case ControlRequest.ReadConfiguration read ->
                    read(reply, state -> ReplicaReads.configuration(state, read.version()));
            case ControlRequest.ReadRouting _ ->
                    read(reply, state -> new ControlReply.Routing(state.routing()));
            case ControlRequest.ReadMembers _ -> read(reply, state -> ReplicaReads.members(mNode));
            case ControlRequest.ReadRollout read ->
                    reply.complete(
                            ReplicaReads.rollout(
                                    mLeases, read.version(), leaderName(), mClocks.nowNanos()));
            case ControlRequest.ChangeMembers change -> changeMembers(change.change(), reply);
            case ControlRequest.ReleaseLease release -> {
                mLeases.release(release.instance(), release.processNonce());
                reply.complete(new ControlReply.Done());
            }
        }
    }

    private void changeMembers(MembershipChange change, CompletableFuture<ControlReply> reply) {
        Optional<ControlFailure.Refused> refusal =
                mVoterTarget > 0 && mNode.isReadyLeader()
                        ? MembershipPlanner.refusal(mNode, change, mVoterTarget, mClocks.nowNanos())
                        : Optional.empty();
        if (refusal.isPresent()) {
            reply.complete(new ControlReply.Failed(refusal.get()));
            return;
        }
        long id = mPendingReplies.add(reply);
        stepNow(new RaftInput.ChangeMembership(id, change));
    }

    private void propose(StateCommand command, CompletableFuture<ControlReply> reply) {
        long id = mPendingReplies.add(reply);
        StateCommand timestamped = command.withTime(mClocks.nowMillis());
        stepNow(new RaftInput.Propose(id, CommandCodec.encode(timestamped)));
    }

    private void read(
            CompletableFuture<ControlReply> reply, Function<StateMachine, ControlReply> reader) {
        long id = mPendingReplies.add(reply, reader);
        stepNow(new RaftInput.ReadIndex(id));
    }

    private void tick() {
        mSignals.takeCompletion()
                .ifPresent(completion -> stepNow(new RaftInput.StorageSynced(completion)));
        updateStorageFull();
        stepNow(new RaftInput.Tick());
        if (!mNode.membership().equals(mKnownMembership)) {
            mKnownMembership = mNode.membership();
            mOnMembershipChange.accept(mKnownMembership);
        }
        mPermits.tick(mClocks.nowNanos());
        if (mNode.isReadyLeader()) {
            tickAsLeader(mClocks.nowNanos());
        }
        mStatus =
                new ReplicaStatus(
                        mNode.role() == RaftRole.LEADER,
                        mNode.term(),
                        mNode.commitIndex(),
                        mNode.logSize());
    }

    private void updateStorageFull() {
        boolean full = mSignals.diskFull();
        if (full != mStorageFull) {
            mStorageFull = full;
            stepNow(new RaftInput.StorageFull(full));
        }
    }

    private void tickAsLeader(long nowNanos) {
        if (mFirstConfiguration.isPresent()) {
            Bytes document = mFirstConfiguration.get();
            mFirstConfiguration = Optional.empty();
            if (mState.configurationVersion() == 0) {
                propose(FirstConfiguration.command(document), new CompletableFuture<>());
            }
        }
        if (mStorageFull) {
            // A leader with a full disk refuses every change although a quorum could accept it.
            transferLeadership(new CompletableFuture<>());
        } else if (mVoterTarget > 0) {
            adjustVoters(nowNanos);
        }
        if (mState.claimCount() > 0
                && nowNanos - mLastClaimExpiryNanos >= CLAIM_EXPIRY_INTERVAL_NANOS) {
            mLastClaimExpiryNanos = nowNanos;
            ClaimExpiry.run(this::handle);
        }
    }

    private void adjustVoters(long nowNanos) {
        MembershipPlanner.nextChange(mNode, mVoterTarget, nowNanos)
                .ifPresent(
                        change -> {
                            LOG.info("members_adjusted", "change", change);
                            long id = mPendingReplies.add(new CompletableFuture<>());
                            stepNow(new RaftInput.ChangeMembership(id, change));
                        });
    }

    private void step(RaftInput input) {
        offer(() -> stepNow(input));
    }

    private void stepNow(RaftInput input) {
        executeOutputs(mNode.step(input, mClocks.nowNanos()));
        if (mNode.isCaughtUp()) {
            mRoutingNotifier.update(mState.routing());
        }
    }

    private void executeOutputs(List<RaftOutput> outputs) {
        for (RaftOutput output : outputs) {
            switch (output) {
                case RaftOutput.Send send -> mSender.accept(send.message());
                case RaftOutput.Write write -> mUnsubmittedWrites.add(write.write());
                case RaftOutput.Apply apply -> apply(apply.entry(), apply.requestId());
                case RaftOutput.Restore restore -> restore(restore.snapshot());
                case RaftOutput.TakeSnapshot take ->
                        mSnapshots.encode(take.index(), mState.image());
                case RaftOutput.RequestFailed failed ->
                        mPendingReplies.completeFailed(
                                failed.requestId(),
                                ControlFailure.of(failed.failure(), leaderName()));
                case RaftOutput.ReadReady ready ->
                        mPendingReplies.completeReady(ready.requestId(), mState);
                case RaftOutput.LeadershipTransferred transferred ->
                        mPendingReplies.completeReady(transferred.requestId(), mState);
                case RaftOutput.RoleChanged changed -> roleChanged(changed);
            }
        }
        submitWrites();
    }

    private void apply(LogEntry entry, long requestId) {
        StateResult result = mState.apply(entry);
        mPendingReplies.completeApplied(requestId, result);
    }

    private void snapshotTaken(RaftInput.SnapshotTaken taken) {
        stepNow(taken);
        LOG.info(
                "snapshot_taken",
                "index",
                taken.index(),
                "bytes",
                taken.data().size(),
                "log_entries",
                mNode.logSize().entries(),
                "log_bytes",
                mNode.logSize().bytes());
    }

    private void restore(SnapshotImage snapshot) {
        LOG.info(
                "snapshot_restored",
                "index",
                snapshot.index(),
                "bytes",
                snapshot.data().size(),
                "log_bytes",
                mNode.logSize().bytes());
        mState =
                StateMachine.restore(snapshot.data())
                        .getOrElseThrow(
                                fault ->
                                        new IllegalStateException(
                                                "snapshot unreadable: " + fault.message()));
    }

    private void roleChanged(RaftOutput.RoleChanged changed) {
        mLeader = changed.leader().map(MemberId::name).map(InstanceId::new);
        if (changed.role() == RaftRole.LEADER) {
            mLeases.beginLeadership(mClocks.nowNanos());
            mPermits.beginLeadership(mClocks.nowNanos());
        } else {
            mLeases.endLeadership();
            mPermits.endLeadership();
        }
        LOG.info(
                "role_changed",
                "role",
                changed.role(),
                "term",
                changed.term(),
                "leader",
                leaderName());
    }

    private String leaderName() {
        return mLeader.map(InstanceId::value).orElse("");
    }

    private void submitWrites() {
        while (!mUnsubmittedWrites.isEmpty() && mStorage.submit(mUnsubmittedWrites.peek())) {
            mUnsubmittedWrites.remove();
        }
    }

    private void offer(Runnable task) {
        if (!mEventLoop.offer(task)) {
            LOG.warn("control_ring_full", "waiting", mEventLoop.queuedTasks());
        }
    }
}
