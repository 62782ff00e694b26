package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.lease.ConfigurationLeaseHolder;
import dev.kumquatweir.agreement.lease.ConfigurationLeaseTable;
import dev.kumquatweir.agreement.lease.LeaseGrant;
import dev.kumquatweir.agreement.lease.LeaseRequest;
import dev.kumquatweir.agreement.lease.LeaseTimes;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.agreement.state.StateLimits;
import dev.kumquatweir.agreement.state.StateMachine;
import dev.kumquatweir.agreement.state.StateResult;
import dev.kumquatweir.core.identity.InstanceId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;

/** A simulated instance with its own replica, state machine, disk, leases and clock. */
// The fields of a running process are set by start.
@SuppressWarnings("NullAway.Init")
final class SimulatedInstance {
    private static final long TICK_NANOS = 25_000_000;

    private final Simulation mSimulation;
    private final String mName;
    private final SimulatedDisk mDisk;
    private final long mClockOffset;
    private final double mClockRate;
    private final Map<Long, Consumer<Optional<StateResult>>> mPending = new HashMap<>();
    private final Map<Long, Long> mPendingReads = new HashMap<>();
    private RaftNode mNode;
    private StateMachine mStateMachine;
    private ConfigurationLeaseTable mLeaseTable;
    private ConfigurationLeaseHolder mLeaseHolder;
    private int mGeneration;
    private boolean mUp;
    private long mFrozenUntilNanos;
    private boolean mDiskFull;
    private long mRequestId;
    private Optional<Long> mIncarnation = Optional.empty();

    SimulatedInstance(Simulation simulation, String name, String store) {
        mSimulation = simulation;
        mName = name;
        mDisk = new SimulatedDisk(store);
        RandomGenerator random = simulation.random();
        mClockOffset = random.nextLong(2_000_000_000_000L) - 1_000_000_000_000L;
        mClockRate = 0.99 + random.nextDouble() * 0.02;
    }

    // Life-cycle

    void start() {
        mGeneration++;
        mUp = true;
        mFrozenUntilNanos = 0;
        mIncarnation = Optional.empty();
        mPending.clear();
        mPendingReads.clear();
        RandomGenerator random = mSimulation.random();
        var nodeRandom = new java.util.SplittableRandom(random.nextLong());
        mStateMachine = new StateMachine(StateLimits.STANDARD);
        mLeaseTable = new ConfigurationLeaseTable(LeaseTimes.STANDARD, 64);
        long nonce = random.nextLong();
        mLeaseHolder =
                new ConfigurationLeaseHolder(
                        new InstanceId(mName), nonce, LeaseTimes.STANDARD, localNanos());
        mNode = new RaftNode(mSimulation.settings(), mName, mDisk.load(), nodeRandom, localNanos());
        handle(mNode.start());
        mSimulation.scheduleOn(this, random.nextLong(TICK_NANOS), this::tick);
    }

    void crash() {
        if (mUp) {
            mUp = false;
            mGeneration++;
            mDisk.crash(mSimulation.random());
            if (mDisk.storeId().equals(MemberId.VOLATILE_STORE)) {
                mDisk.wipe(MemberId.VOLATILE_STORE);
            }
        }
    }

    void freezeUntil(long nanos) {
        mFrozenUntilNanos = nanos;
    }

    void setDiskFull(boolean full) {
        mDiskFull = full;
        if (mUp) {
            step(new RaftInput.StorageFull(full));
            sync();
        }
    }

    // Inputs

    void step(RaftInput input) {
        handle(mNode.step(input, localNanos()));
        mSimulation.checker().checkAfterStep(this);
    }

    /** Proposes a command; the consumer gets the result, or empty if the proposal failed. */
    void propose(LongFunction<StateCommand> command, Consumer<Optional<StateResult>> consumer) {
        long requestId = ++mRequestId;
        mPending.put(requestId, consumer);
        var encoded =
                dev.kumquatweir.agreement.codec.CommandCodec.encode(command.apply(wallMillis()));
        step(new RaftInput.Propose(requestId, encoded));
    }

    void changeMembership(MembershipChange change) {
        step(new RaftInput.ChangeMembership(++mRequestId, change));
    }

    void transfer(String target) {
        step(new RaftInput.TransferLeadership(++mRequestId, target));
    }

    void read() {
        long requestId = ++mRequestId;
        mPendingReads.put(requestId, mSimulation.checker().committedIndex());
        step(new RaftInput.ReadIndex(requestId));
    }

    void onLeaseRequest(LeaseRequest request) {
        long now = localNanos();
        Optional<LeaseGrant> grant =
                mLeaseTable.grant(
                        request,
                        mNode.leaderLeaseNanos(now),
                        mStateMachine.configurationVersion(),
                        mStateMachine.configurationDocument(),
                        now);
        SimulatedInstance requester = mSimulation.instance(request.instance().value());
        grant.ifPresent(
                response ->
                        mSimulation.transmit(
                                this, requester, () -> requester.mLeaseHolder.onGrant(response)));
    }

    // State

    String name() {
        return mName;
    }

    MemberId memberId() {
        return new MemberId(mName, mDisk.storeId());
    }

    SimulatedDisk disk() {
        return mDisk;
    }

    RaftNode node() {
        return mNode;
    }

    StateMachine stateMachine() {
        return mStateMachine;
    }

    ConfigurationLeaseHolder leaseHolder() {
        return mLeaseHolder;
    }

    ConfigurationLeaseTable leaseTable() {
        return mLeaseTable;
    }

    int generation() {
        return mGeneration;
    }

    boolean isUp() {
        return mUp;
    }

    boolean isFrozen() {
        return mSimulation.nowNanos() < mFrozenUntilNanos;
    }

    long frozenUntilNanos() {
        return mFrozenUntilNanos;
    }

    boolean isLeader() {
        return mUp && mNode.role() == RaftRole.LEADER;
    }

    long localNanos() {
        return mClockOffset + (long) (mSimulation.nowNanos() * mClockRate);
    }

    long wallMillis() {
        return 1_800_000_000_000L + mSimulation.nowNanos() / 1_000_000;
    }

    Optional<Long> incarnation() {
        return mIncarnation;
    }

    // Helpers

    private void tick() {
        step(new RaftInput.Tick());
        long now = localNanos();
        if (mLeaseHolder.requestDue(now)) {
            LeaseRequest request = mLeaseHolder.newRequest(now);
            mNode.leader()
                    .map(leader -> mSimulation.instance(leader.name()))
                    .ifPresent(
                            leader ->
                                    mSimulation.transmit(
                                            this, leader, () -> leader.onLeaseRequest(request)));
            startIncarnation();
        }
        if (isLeader()) {
            mSimulation
                    .checker()
                    .onForceStatus(this, mLeaseTable, mStateMachine.configurationVersion());
        }
        mSimulation.scheduleOn(this, TICK_NANOS, this::tick);
    }

    private void startIncarnation() {
        if (mIncarnation.isEmpty()) {
            long nonce = mLeaseHolder.processNonce();
            mSimulation.proposeAtLeader(
                    this,
                    millis -> new StateCommand.StartInstance(millis, new InstanceId(mName), nonce),
                    result -> {
                        if (result.orElse(null)
                                instanceof StateResult.InstanceStarted(long incarnation)) {
                            mIncarnation = Optional.of(incarnation);
                        }
                    });
        }
    }

    private void handle(List<RaftOutput> outputs) {
        for (RaftOutput output : outputs) {
            switch (output) {
                case RaftOutput.Send(RaftMessage message) -> mSimulation.send(this, message);
                case RaftOutput.Write write -> {
                    mDisk.write(write.write());
                    mSimulation.scheduleOn(this, mSimulation.nextDiskDelayNanos(), this::sync);
                }
                case RaftOutput.Apply(var entry, long requestId) -> {
                    StateResult result = mStateMachine.apply(entry);
                    mSimulation.checker().onApplied(this, entry, result);
                    complete(requestId, Optional.of(result));
                }
                case RaftOutput.Restore(var snapshot) -> {
                    mStateMachine = StateMachine.restore(snapshot.data()).get();
                    mSimulation.checker().onRestored(this, snapshot);
                }
                case RaftOutput.TakeSnapshot(long index) -> {
                    var snapshotTaken =
                            new RaftInput.SnapshotTaken(index, mStateMachine.snapshot());
                    long encodingNanos =
                            mSimulation.random().nextLong(60 * Simulation.NANOS_PER_MILLI);
                    mSimulation.scheduleOn(this, encodingNanos, () -> step(snapshotTaken));
                }
                case RaftOutput.RequestFailed failed ->
                        complete(failed.requestId(), Optional.empty());
                case RaftOutput.ReadReady ready ->
                        mSimulation
                                .checker()
                                .onRead(
                                        this,
                                        ready.readIndex(),
                                        mPendingReads.remove(ready.requestId()));
                case RaftOutput.LeadershipTransferred _ -> {}
                case RaftOutput.RoleChanged changed -> onRoleChanged(changed);
            }
        }
    }

    private void onRoleChanged(RaftOutput.RoleChanged changed) {
        if (changed.role() == RaftRole.LEADER) {
            mLeaseTable.beginLeadership(localNanos());
            mSimulation.checker().onLeader(this, changed.term());
        } else {
            mLeaseTable.endLeadership();
        }
    }

    private void complete(long requestId, Optional<StateResult> result) {
        Consumer<Optional<StateResult>> consumer = mPending.remove(requestId);
        if (consumer != null) {
            consumer.accept(result);
        }
    }

    private void sync() {
        if (!mDiskFull) {
            mDisk.sync().ifPresent(completion -> step(new RaftInput.StorageSynced(completion)));
        }
    }
}
