package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.codec.CommandCodec;
import dev.kumquatweir.agreement.codec.StateCodec;
import dev.kumquatweir.agreement.lease.ConfigurationLeaseTable;
import dev.kumquatweir.agreement.lease.LeaseGrant;
import dev.kumquatweir.agreement.lease.LeaseRequest;
import dev.kumquatweir.agreement.lease.LeaseTimes;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import dev.kumquatweir.agreement.raft.RaftInput;
import dev.kumquatweir.agreement.raft.RaftMessage;
import dev.kumquatweir.agreement.raft.RaftNode;
import dev.kumquatweir.agreement.raft.RaftOutput;
import dev.kumquatweir.agreement.raft.RaftRole;
import dev.kumquatweir.agreement.raft.RaftSettings;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.agreement.state.StateImage;
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
import dev.kumquatweir.storage.StorageListener;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * The duty {@code control}: owns this instance's replica of the agreed state and the leader's table
 * of configuration leases. Public methods are thread-safe and never block.
 */
final class ReplicaDuty {
    private static final EventLog LOG = EventLog.of(ReplicaDuty.class);
    private static final ControlFailure OVERLOADED =
            new ControlFailure.Refused("overloaded", "the control duty has too much waiting");
    private static final int RING_CAPACITY = 8_192;
    private static final int STORAGE_CAPACITY = 1_024;
    private static final int LARGEST_LEASE_TABLE = 1_024;
    private static final long TICK_MILLIS = 20;
    private static final long IDLE_TICK_MILLIS = 1_000;
    private static final long EXPIRE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Clocks mClocks;
    private final Consumer<RaftMessage> mSender;
    private final Consumer<Membership> mOnMembership;
    private final RoutingWatch mRouting;
    private final int mVoterTarget;
    private final RaftNode mNode;
    private final StorageDuty mStorage;
    private final EventLoop mDuty;
    private final EventLoop mSnapshots;
    private final ConfigurationLeaseTable mLeases =
            new ConfigurationLeaseTable(LeaseTimes.STANDARD, LARGEST_LEASE_TABLE);
    private final PermitIssuer mPermits;
    private final PendingReplies mPending = new PendingReplies();
    private final Deque<StorageWrite> mUnsubmitted = new ArrayDeque<>();
    private StateMachine mState = new StateMachine(StateLimits.STANDARD);
    private Optional<Bytes> mFirstConfiguration;
    private Membership mKnownMembership = Membership.EMPTY;
    private long mExpiredNanos;
    private boolean mStorageFull;
    private volatile Optional<InstanceId> mLeader = Optional.empty();
    private volatile ReplicaStatus mStatus = ReplicaStatus.NONE;
    private volatile @Nullable StorageCompletion mSynced;

    /**
     * Makes a duty that is not yet running.
     *
     * @param settings settings of the replica
     * @param self this instance
     * @param stored what the log store holds
     * @param store the loaded log store; closed with this duty
     * @param ports what the duty calls
     * @param firstConfiguration document of a new cluster, proposed by the first leader
     */
    ReplicaDuty(
            RaftSettings settings,
            InstanceId self,
            StoredState stored,
            LogStore store,
            ReplicaPorts ports,
            Optional<Bytes> firstConfiguration) {
        mClocks = ports.clocks();
        mSender = ports.sender();
        mOnMembership = ports.onMembership();
        mRouting = new RoutingWatch(ports.onRouting());
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
        mStorage = new StorageDuty(store, STORAGE_CAPACITY, new Listener(ports.onFatal()));
        mSnapshots =
                new EventLoop(
                        "snapshot",
                        1,
                        IDLE_TICK_MILLIS,
                        () -> {},
                        (thread, fault) -> LOG.error("snapshot_fault", fault));
        mDuty =
                new EventLoop(
                        "control",
                        RING_CAPACITY,
                        TICK_MILLIS,
                        this::tick,
                        (thread, fault) -> {
                            LOG.error("control_fault", fault);
                            ports.onFatal().run();
                        });
    }

    void start() {
        mStorage.start();
        mSnapshots.start();
        mDuty.start();
        offer(() -> carryOut(mNode.start()));
    }

    void stop() {
        mDuty.stop();
        mSnapshots.stop();
        mStorage.close();
    }

    /** Returns the leader that this replica knows. */
    Optional<InstanceId> leader() {
        return mLeader;
    }

    /** Returns how far this replica is, at most one tick old. */
    ReplicaStatus status() {
        return mStatus;
    }

    /** Takes a message of another replica. */
    void receive(RaftMessage message) {
        step(new RaftInput.Receive(message));
    }

    /** Answers an ask for a configuration lease; empty unless this replica may grant one now. */
    CompletionStage<Optional<LeaseGrant>> grant(LeaseRequest ask) {
        CompletableFuture<Optional<LeaseGrant>> answer = new CompletableFuture<>();
        boolean taken =
                mDuty.offer(
                        () -> {
                            long nowNanos = mClocks.nowNanos();
                            answer.complete(
                                    mLeases.grant(
                                            ask,
                                            mNode.leaderLeaseNanos(nowNanos),
                                            mState.configurationVersion(),
                                            mState.configurationDocument(),
                                            nowNanos));
                        });
        if (!taken) {
            answer.complete(Optional.empty());
        }
        return answer;
    }

    /** Decides on a renewal of permits; empty unless this replica may decide now. */
    CompletionStage<Optional<PermitGrant>> renew(PermitRequest request) {
        CompletableFuture<Optional<PermitGrant>> answer = new CompletableFuture<>();
        if (!mDuty.offer(() -> answer.complete(decide(request)))) {
            answer.complete(Optional.empty());
        }
        return answer;
    }

    private Optional<PermitGrant> decide(PermitRequest request) {
        long nowNanos = mClocks.nowNanos();
        return mPermits.renew(request, mNode.leaderLeaseNanos(nowNanos), nowNanos);
    }

    /** Carries out a request; the stage never completes exceptionally. */
    CompletionStage<ControlReply> handle(ControlRequest request) {
        CompletableFuture<ControlReply> reply = new CompletableFuture<>();
        if (!mDuty.offer(() -> accept(request, reply))) {
            reply.complete(new ControlReply.Failed(OVERLOADED));
        }
        return reply;
    }

    /** Hands leadership to another voter; completes at once if this replica does not lead. */
    CompletionStage<ControlReply> transfer() {
        CompletableFuture<ControlReply> reply = new CompletableFuture<>();
        if (!mDuty.offer(() -> transfer(reply))) {
            reply.complete(new ControlReply.Failed(OVERLOADED));
        }
        return reply;
    }

    private void transfer(CompletableFuture<ControlReply> reply) {
        Optional<MemberId> target =
                mNode.membership().voters().stream()
                        .filter(voter -> !voter.equals(mNode.self()))
                        .findFirst();
        if (mNode.role() != RaftRole.LEADER || target.isEmpty()) {
            reply.complete(new ControlReply.Done());
            return;
        }
        long id = mPending.add(reply);
        stepNow(new RaftInput.TransferLeadership(id, target.get().name()));
    }

    private void accept(ControlRequest request, CompletableFuture<ControlReply> reply) {
        switch (request) {
            case ControlRequest.Propose propose -> propose(propose.command(), reply);
            case ControlRequest.ReadConfiguration read ->
                    read(reply, state -> ReplicaAnswers.configuration(state, read.version()));
            case ControlRequest.ReadRouting _ ->
                    read(reply, state -> new ControlReply.Routing(state.routing()));
            case ControlRequest.ReadMembers _ ->
                    read(reply, state -> ReplicaAnswers.members(mNode));
            case ControlRequest.ReadRollout read ->
                    reply.complete(
                            ReplicaAnswers.force(
                                    mLeases, read.version(), leaderName(), mClocks.nowNanos()));
            case ControlRequest.ChangeMembers change -> {
                long id = mPending.add(reply);
                stepNow(new RaftInput.ChangeMembership(id, change.change()));
            }
            case ControlRequest.ReleaseLease release -> {
                mLeases.release(release.instance(), release.processNonce());
                reply.complete(new ControlReply.Done());
            }
        }
    }

    private void propose(StateCommand command, CompletableFuture<ControlReply> reply) {
        long id = mPending.add(reply);
        StateCommand stamped = command.withTime(mClocks.nowMillis());
        stepNow(new RaftInput.Propose(id, CommandCodec.encode(stamped)));
    }

    private void read(
            CompletableFuture<ControlReply> reply, Function<StateMachine, ControlReply> reader) {
        long id = mPending.add(reply, reader);
        stepNow(new RaftInput.ReadIndex(id));
    }

    private void tick() {
        StorageCompletion synced = mSynced;
        if (synced != null) {
            mSynced = null;
            stepNow(new RaftInput.StorageSynced(synced));
        }
        stepNow(new RaftInput.Tick());
        if (!mNode.membership().equals(mKnownMembership)) {
            mKnownMembership = mNode.membership();
            mOnMembership.accept(mKnownMembership);
        }
        mPermits.tick(mClocks.nowNanos());
        if (mNode.isReadyLeader()) {
            leadingTick(mClocks.nowNanos());
        }
        mStatus =
                new ReplicaStatus(
                        mNode.role() == RaftRole.LEADER, mNode.term(), mNode.commitIndex());
    }

    private void leadingTick(long nowNanos) {
        if (mFirstConfiguration.isPresent()) {
            Bytes document = mFirstConfiguration.get();
            mFirstConfiguration = Optional.empty();
            if (mState.configurationVersion() == 0) {
                propose(FirstConfiguration.command(document), new CompletableFuture<>());
            }
        }
        if (mStorageFull) {
            // A leader that can't write refuses each change although a quorum could take it.
            transfer(new CompletableFuture<>());
        } else if (mVoterTarget > 0) {
            keepVoters(nowNanos);
        }
        if (mState.claimCount() > 0 && nowNanos - mExpiredNanos >= EXPIRE_NANOS) {
            mExpiredNanos = nowNanos;
            ClaimExpiry.run(this::handle);
        }
    }

    private void keepVoters(long nowNanos) {
        MembershipPlanner.next(mNode, mVoterTarget, nowNanos)
                .ifPresent(
                        change -> {
                            LOG.info("members_adjusted", "change", change);
                            long id = mPending.add(new CompletableFuture<>());
                            stepNow(new RaftInput.ChangeMembership(id, change));
                        });
    }

    private void step(RaftInput input) {
        offer(() -> stepNow(input));
    }

    private void stepNow(RaftInput input) {
        carryOut(mNode.step(input, mClocks.nowNanos()));
    }

    private void carryOut(List<RaftOutput> outputs) {
        for (RaftOutput output : outputs) {
            switch (output) {
                case RaftOutput.Send send -> mSender.accept(send.message());
                case RaftOutput.Write write -> mUnsubmitted.add(write.write());
                case RaftOutput.Apply apply -> apply(apply.entry(), apply.requestId());
                case RaftOutput.Restore restore -> restore(restore.snapshot().data());
                case RaftOutput.TakeSnapshot take -> takeSnapshot(take.index());
                case RaftOutput.RequestFailed failed ->
                        mPending.failed(
                                failed.requestId(),
                                ControlFailure.of(failed.failure(), leaderName()));
                case RaftOutput.ReadReady ready -> mPending.ready(ready.requestId(), mState);
                case RaftOutput.LeadershipTransferred done ->
                        mPending.ready(done.requestId(), mState);
                case RaftOutput.RoleChanged changed -> roleChanged(changed);
            }
        }
        submitWrites();
    }

    private void apply(LogEntry entry, long requestId) {
        StateResult result = mState.apply(entry);
        mPending.applied(requestId, result);
        mRouting.check(mState.routing());
    }

    /** Encodes on a thread of its own: a large state takes longer than a heartbeat may wait. */
    private void takeSnapshot(long index) {
        StateImage image = mState.image();
        boolean taken =
                mSnapshots.offer(
                        () -> step(new RaftInput.SnapshotTaken(index, StateCodec.encode(image))));
        if (!taken) {
            LOG.warn("snapshot_skipped", "index", index);
        }
    }

    private void restore(Bytes data) {
        mState =
                StateMachine.restore(data)
                        .getOrElseThrow(
                                fault -> new IllegalStateException("snapshot: " + fault.message()));
        mRouting.check(mState.routing());
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
        while (!mUnsubmitted.isEmpty() && mStorage.submit(mUnsubmitted.peek())) {
            mUnsubmitted.remove();
        }
    }

    private void offer(Runnable task) {
        if (!mDuty.offer(task)) {
            LOG.warn("control_ring_full", "waiting", mDuty.queuedTasks());
        }
    }

    /** Passes what the storage thread reports to the replica. */
    private final class Listener implements StorageListener {
        private final Runnable mOnFatal;

        Listener(Runnable onFatal) {
            mOnFatal = onFatal;
        }

        @Override
        public void completed(StorageCompletion completion) {
            // Kept for the next tick too: a completion must not be lost when the ring is full.
            mSynced = completion;
            step(new RaftInput.StorageSynced(completion));
        }

        @Override
        public void diskFull(StorageFailure.DiskFull failure) {
            step(new RaftInput.StorageFull(true));
            offer(() -> mStorageFull = true);
        }

        @Override
        public void spaceReturned() {
            step(new RaftInput.StorageFull(false));
            offer(() -> mStorageFull = false);
        }

        @Override
        public void failed(StorageFailure failure) {
            mOnFatal.run();
        }
    }
}
