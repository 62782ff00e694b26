package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberRole;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.raft.MembershipChange;
import dev.kumquatweir.agreement.raft.RaftInput;
import dev.kumquatweir.agreement.raft.RaftMessage;
import dev.kumquatweir.agreement.raft.RaftNode;
import dev.kumquatweir.agreement.raft.RaftSettings;
import dev.kumquatweir.core.bytes.Bytes;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Control group of {@code fleet} in virtual time: replicas that tolerate the loss of two disks, the
 * planner on their leader, and instances that ask to join. A leader is found without delay.
 */
final class VirtualGroup {
    static final int VOTER_TARGET = 5;
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long JOIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final Map<String, VirtualReplica> mReplicas = new TreeMap<>();
    private final SplittableRandom mRandom;
    private List<RaftMessage> mInFlight = new ArrayList<>();
    private long mNowNanos;
    private long mOriginNanos;
    private long mRequestId;

    VirtualGroup(long seed, List<String> founders) {
        mRandom = new SplittableRandom(seed);
        founders.forEach(this::add);
        Membership membership =
                new Membership(
                        founders.stream()
                                .map(name -> new Member(replica(name).id(), MemberRole.VOTER, name))
                                .toList());
        founders.forEach(name -> replica(name).found(SnapshotImage.founding(membership)));
        founders.forEach(this::start);
        awaitLeader(10_000);
        mOriginNanos = mNowNanos;
    }

    private void add(String name) {
        RaftSettings settings =
                RaftSettings.builder("group")
                        .durableCopies(3)
                        .heartbeatIntervalMillis(100, 500)
                        .electionTimeoutMillis(400, 800)
                        .build();
        mReplicas.put(
                name,
                new VirtualReplica(
                        name, settings, mRandom.split(), message -> mInFlight.add(message)));
    }

    VirtualReplica replica(String name) {
        return Optional.ofNullable(mReplicas.get(name)).orElseThrow();
    }

    /** Starts an instance, a new one with an empty disk. */
    void start(String name) {
        if (!mReplicas.containsKey(name)) {
            add(name);
        }
        replica(name).start(mNowNanos);
    }

    void kill(String name) {
        replica(name).kill();
    }

    /** Lets the time pass. */
    void run(long millis) {
        long untilNanos = mNowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        while (mNowNanos < untilNanos) {
            step();
        }
    }

    /** Lets the time pass until so long after the group had its first leader. */
    void runUntil(long millis) {
        run(millis - TimeUnit.NANOSECONDS.toMillis(mNowNanos - mOriginNanos));
    }

    /** Returns the names of the running instances. */
    List<String> running() {
        return mReplicas.entrySet().stream()
                .filter(entry -> entry.getValue().node().isPresent())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Lets the time pass until the condition holds; returns whether it does. */
    boolean await(long millis, BooleanSupplier condition) {
        long untilNanos = mNowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.getAsBoolean() && mNowNanos < untilNanos) {
            step();
        }
        return condition.getAsBoolean();
    }

    boolean awaitLeader(long millis) {
        return await(millis, () -> leader().isPresent());
    }

    /** Returns the leader that has committed an entry of its term. */
    Optional<VirtualReplica> leader() {
        return mReplicas.values().stream()
                .filter(replica -> replica.node().map(RaftNode::isReadyLeader).orElse(false))
                .findFirst();
    }

    /** Has a command confirmed by the leader; returns whether that succeeds in time. */
    boolean confirm(String command, long millis) {
        Bytes content = Bytes.ofText(command);
        leader().ifPresent(leader -> leader.step(propose(content), mNowNanos));
        return await(millis, () -> leader().map(at -> at.hasApplied(content)).orElse(false));
    }

    /** Returns whether the leader has applied a command. */
    boolean reads(String command) {
        return leader().map(leader -> leader.hasApplied(Bytes.ofText(command))).orElse(false);
    }

    Membership membership() {
        return leader().flatMap(VirtualReplica::node).map(RaftNode::membership).orElseThrow();
    }

    /** Lets a voter hand over leadership and its place as a planned stop does, then ends it. */
    void depart(String name, long millis) {
        VirtualReplica self = replica(name);
        long untilNanos = mNowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        if (leader().filter(self::equals).isPresent()) {
            String target =
                    membership().voters().stream()
                            .filter(voter -> !voter.equals(self.id()))
                            .findFirst()
                            .orElseThrow()
                            .name();
            self.step(new RaftInput.TransferLeadership(++mRequestId, target), mNowNanos);
            await(millis, () -> leader().filter(at -> !at.equals(self)).isPresent());
        }
        while (mNowNanos < untilNanos) {
            Optional<DeparturePlanner.Step> step =
                    leader().map(
                                    at ->
                                            DeparturePlanner.nextStep(
                                                    membership(), self.id(), VOTER_TARGET));
            if (step.isPresent() && step.get() instanceof DeparturePlanner.Step.Stop) {
                break;
            }
            if (step.isPresent()
                    && step.get() instanceof DeparturePlanner.Step.Request(var change)) {
                change(change);
            }
            step();
        }
        kill(name);
    }

    // Helpers.

    private void change(MembershipChange change) {
        leader().ifPresent(
                        leader ->
                                leader.step(
                                        new RaftInput.ChangeMembership(++mRequestId, change),
                                        mNowNanos));
    }

    private RaftInput propose(Bytes content) {
        return new RaftInput.Propose(++mRequestId, content);
    }

    private void step() {
        mNowNanos += STEP_NANOS;
        List<RaftMessage> delivered = mInFlight;
        mInFlight = new ArrayList<>();
        delivered.forEach(
                message ->
                        Optional.ofNullable(mReplicas.get(message.to().name()))
                                .ifPresent(
                                        to -> to.step(new RaftInput.Receive(message), mNowNanos)));
        if (mNowNanos % TICK_NANOS == 0) {
            mReplicas.values().forEach(replica -> replica.step(new RaftInput.Tick(), mNowNanos));
            leader().flatMap(VirtualReplica::node)
                    .flatMap(node -> MembershipPlanner.nextChange(node, VOTER_TARGET, mNowNanos))
                    .ifPresent(this::change);
        }
        if (mNowNanos % JOIN_INTERVAL_NANOS == 0) {
            mReplicas.values().forEach(this::joinIfMissing);
        }
    }

    private void joinIfMissing(VirtualReplica replica) {
        if (replica.node().isEmpty() || leader().isEmpty()) {
            return;
        }
        Membership membership = membership();
        if (membership.find(replica.id()).isPresent()) {
            return;
        }
        String name = replica.id().name();
        change(
                membership.byName(name).isPresent()
                        ? new MembershipChange.Replace(replica.id(), name)
                        : new MembershipChange.AddLearner(replica.id(), name));
    }
}
