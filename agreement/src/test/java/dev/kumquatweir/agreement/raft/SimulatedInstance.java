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

/** One instance: replica, state machine, disk, leases, a clock of its own. */
// The fields of a running process are set by boot.
@SuppressWarnings("NullAway.Init")
final class SimulatedInstance {
    private static final long TICK_NANOS = 25_000_000;

    private final Simulation mSimulation;
    private final String mName;
    private final SimulatedDisk mDisk;
    private final long mClockOffset;
    private final double mClockRate;
    private final Map<Long, Consumer<Optional<StateResult>>> mPending = new HashMap<>();
    private final Map<Long, Long> mReads = new HashMap<>();
    private RaftNode mNode;
    private StateMachine mMachine;
    private ConfigurationLeaseTable mTable;
    private ConfigurationLeaseHolder mHolder;
    private int mLife;
    private boolean mUp;
    private long mFrozenUntil;
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

    void boot() {
        mLife++;
        mUp = true;
        mFrozenUntil = 0;
        mIncarnation = Optional.empty();
        mPending.clear();
        mReads.clear();
        RandomGenerator random = mSimulation.random();
        var seeded = new java.util.SplittableRandom(random.nextLong());
        mMachine = new StateMachine(StateLimits.STANDARD);
        mTable = new ConfigurationLeaseTable(LeaseTimes.STANDARD, 64);
        long nonce = random.nextLong();
        mHolder =
                new ConfigurationLeaseHolder(
                        new InstanceId(mName), nonce, LeaseTimes.STANDARD, localNanos());
        mNode = new RaftNode(mSimulation.settings(), mName, mDisk.load(), seeded, localNanos());
        handle(mNode.start());
        mSimulation.later(this, random.nextLong(TICK_NANOS), this::tick);
    }

    void crash() {
        if (mUp) {
            mUp = false;
            mLife++;
            mDisk.crash(mSimulation.random());
            if (mDisk.storeId().equals(MemberId.VOLATILE_STORE)) {
                mDisk.wipe(MemberId.VOLATILE_STORE);
            }
        }
    }

    void freezeUntil(long nanos) {
        mFrozenUntil = nanos;
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
        mSimulation.checker().check(this);
    }

    /** Proposes here; the consumer gets the result, or nothing if the proposal failed. */
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
        mReads.put(requestId, mSimulation.checker().committedIndex());
        step(new RaftInput.ReadIndex(requestId));
    }

    void onAsk(LeaseRequest ask) {
        long now = localNanos();
        Optional<LeaseGrant> grant =
                mTable.grant(
                        ask,
                        mNode.leaderLeaseNanos(now),
                        mMachine.configurationVersion(),
                        mMachine.configurationDocument(),
                        now);
        SimulatedInstance asker = mSimulation.instance(ask.instance().value());
        grant.ifPresent(
                answer -> mSimulation.transmit(this, asker, () -> asker.mHolder.onGrant(answer)));
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

    StateMachine machine() {
        return mMachine;
    }

    ConfigurationLeaseHolder holder() {
        return mHolder;
    }

    ConfigurationLeaseTable table() {
        return mTable;
    }

    int life() {
        return mLife;
    }

    boolean isUp() {
        return mUp;
    }

    boolean isFrozen() {
        return mSimulation.now() < mFrozenUntil;
    }

    long frozenUntil() {
        return mFrozenUntil;
    }

    boolean isLeader() {
        return mUp && mNode.role() == RaftRole.LEADER;
    }

    long localNanos() {
        return mClockOffset + (long) (mSimulation.now() * mClockRate);
    }

    long wallMillis() {
        return 1_800_000_000_000L + mSimulation.now() / 1_000_000;
    }

    Optional<Long> incarnation() {
        return mIncarnation;
    }

    // Helpers

    private void tick() {
        step(new RaftInput.Tick());
        long now = localNanos();
        if (mHolder.requestDue(now)) {
            LeaseRequest ask = mHolder.newRequest(now);
            mNode.leader()
                    .map(leader -> mSimulation.instance(leader.name()))
                    .ifPresent(
                            leader -> mSimulation.transmit(this, leader, () -> leader.onAsk(ask)));
            startIncarnation();
        }
        if (isLeader()) {
            mSimulation.checker().onForceStatus(this, mTable, mMachine.configurationVersion());
        }
        mSimulation.later(this, TICK_NANOS, this::tick);
    }

    private void startIncarnation() {
        if (mIncarnation.isEmpty()) {
            long nonce = mHolder.processNonce();
            mSimulation.request(
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
                    mSimulation.later(this, mSimulation.diskDelay(), this::sync);
                }
                case RaftOutput.Apply(var entry, long requestId) -> {
                    StateResult result = mMachine.apply(entry);
                    mSimulation.checker().onApplied(this, entry, result);
                    complete(requestId, Optional.of(result));
                }
                case RaftOutput.Restore(var snapshot) -> {
                    mMachine = StateMachine.restore(snapshot.data()).get();
                    mSimulation.checker().onRestored(this, snapshot);
                }
                case RaftOutput.TakeSnapshot(long index) -> {
                    var taken = new RaftInput.SnapshotTaken(index, mMachine.snapshot());
                    long encoding = mSimulation.random().nextLong(60 * Simulation.MILLI);
                    mSimulation.later(this, encoding, () -> step(taken));
                }
                case RaftOutput.RequestFailed failed ->
                        complete(failed.requestId(), Optional.empty());
                case RaftOutput.ReadReady ready ->
                        mSimulation
                                .checker()
                                .onRead(this, ready.readIndex(), mReads.remove(ready.requestId()));
                case RaftOutput.LeadershipTransferred _ -> {}
                case RaftOutput.RoleChanged changed -> onRole(changed);
            }
        }
    }

    private void onRole(RaftOutput.RoleChanged changed) {
        if (changed.role() == RaftRole.LEADER) {
            mTable.beginLeadership(localNanos());
            mSimulation.checker().onLeader(this, changed.term());
        } else {
            mTable.endLeadership();
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
