package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.codec.MessageCodec;
import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.MemberRole;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.agreement.state.StateResult;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;

/**
 * Discrete-event simulation of a Raft group: instances, network and disks in virtual time. Runs are
 * reproducible from the seed.
 */
final class Simulation {
    static final String CLUSTER = "simulated";
    static final long NANOS_PER_MILLI = 1_000_000;

    private final RandomGenerator mRandom;
    private final RaftSettings mSettings;
    private final Map<String, SimulatedInstance> mInstances = new TreeMap<>();
    private final PriorityQueue<Event> mQueue =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final Set<String> mBlockedLinks = new HashSet<>();
    private final Map<String, Long> mMessagesBySender = new TreeMap<>();
    private final Map<String, Long> mBytesBySender = new TreeMap<>();
    private final SafetyChecker mChecker;
    private boolean mCountBytes;
    private long mNowNanos;
    private long mNextOrder;
    private double mLossProbability;
    private double mDuplicationProbability;
    private long mMaxNetworkDelayNanos = NANOS_PER_MILLI;
    private long mMaxDiskDelayNanos = 2 * NANOS_PER_MILLI;
    private int mStoreCount;

    /** Creates voters a, b, c and so on, a spare with a disk, and a learner without one. */
    Simulation(long seed, int voters, RaftSettings settings) {
        this(seed, voters, 1, settings);
    }

    Simulation(long seed, int voters, int learners, RaftSettings settings) {
        mRandom = new SplittableRandom(seed);
        mSettings = settings;
        List<Member> members = new ArrayList<>();
        for (int number = 0; number < voters; number++) {
            SimulatedInstance instance = add(String.valueOf((char) ('a' + number)), newStore());
            members.add(member(instance, MemberRole.VOTER));
        }
        for (int number = 1; number <= learners; number++) {
            SimulatedInstance instance = add("learner-" + number, MemberId.VOLATILE_STORE);
            members.add(member(instance, MemberRole.LEARNER));
        }
        var founding = new Membership(members);
        mChecker = new SafetyChecker(this, founding);
        mInstances.values().stream()
                .filter(instance -> founding.isVoter(instance.memberId()))
                .forEach(instance -> instance.disk().bootstrap(SnapshotImage.founding(founding)));
        add("spare", newStore());
        mInstances.values().forEach(SimulatedInstance::start);
    }

    /**
     * Returns settings with small batches, chunks, snapshots and logs, so that short runs use them
     * and members that lag need snapshots.
     */
    static RaftSettings.Builder smallSettings() {
        return RaftSettings.builder(CLUSTER)
                .batchLimits(3, 4_096, 4)
                .snapshotChunkBytes(700)
                .snapshotPolicy(25, 1L << 30, 5)
                .logLimits(1L << 30, 1_500, 1L << 30);
    }

    private record Event(long atNanos, long order, Runnable action) {}

    // Run

    void runFor(long nanos) {
        long endNanos = mNowNanos + nanos;
        while (!mQueue.isEmpty() && mQueue.peek().atNanos() <= endNanos) {
            Event event = mQueue.poll();
            mNowNanos = event.atNanos();
            event.action().run();
        }
        mNowNanos = endNanos;
    }

    /** Runs until a condition holds; fails after 30 s of virtual time. */
    void runUntil(String goal, java.util.function.BooleanSupplier condition) {
        long limitNanos = mNowNanos + 30_000 * NANOS_PER_MILLI;
        while (!condition.getAsBoolean()) {
            if (mNowNanos > limitNanos) {
                throw new AssertionError("not reached: " + goal);
            }
            runFor(20 * NANOS_PER_MILLI);
        }
    }

    void schedule(long delayNanos, Runnable action) {
        mQueue.add(new Event(mNowNanos + delayNanos, mNextOrder++, action));
    }

    /** Schedules an action on an instance: skipped after a restart, deferred while frozen. */
    void scheduleOn(SimulatedInstance instance, long delayNanos, Runnable action) {
        int generation = instance.generation();
        schedule(delayNanos, () -> runOn(instance, generation, action));
    }

    private void runOn(SimulatedInstance instance, int generation, Runnable action) {
        if (instance.generation() != generation || !instance.isUp()) {
            return;
        }
        if (instance.isFrozen()) {
            schedule(
                    instance.frozenUntilNanos() - mNowNanos,
                    () -> runOn(instance, generation, action));
        } else {
            action.run();
        }
    }

    // Network

    void send(SimulatedInstance from, RaftMessage message) {
        SimulatedInstance to = mInstances.get(message.to().name());
        mMessagesBySender.merge(from.name(), 1L, Long::sum);
        if (to == null) {
            return;
        }
        if (mCountBytes) {
            mBytesBySender.merge(
                    from.name(), (long) MessageCodec.encode(message).size(), Long::sum);
        }
        boolean encoded = mRandom.nextInt(16) == 0;
        RaftMessage sent =
                encoded ? MessageCodec.decode(MessageCodec.encode(message)).get() : message;
        if (encoded && !sent.equals(message)) {
            throw new AssertionError("codec changed " + message);
        }
        transmit(from, to, () -> to.step(new RaftInput.Receive(sent)));
    }

    /** Delivers to an instance with random loss, duplication and delay. */
    void transmit(SimulatedInstance from, SimulatedInstance to, Runnable arrival) {
        int copies = mRandom.nextDouble() < mDuplicationProbability ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (mRandom.nextDouble() < mLossProbability) {
                continue;
            }
            long delayNanos = 50_000 + mRandom.nextLong(mMaxNetworkDelayNanos);
            schedule(delayNanos, () -> arrive(from, to, arrival));
        }
    }

    private void arrive(SimulatedInstance from, SimulatedInstance to, Runnable arrival) {
        if (!mBlockedLinks.contains(link(from, to)) && to.isUp()) {
            runOn(to, to.generation(), arrival);
        }
    }

    /** Proposes a command at the leader known to the origin and returns the result to it. */
    void proposeAtLeader(
            SimulatedInstance origin,
            LongFunction<StateCommand> command,
            Consumer<Optional<StateResult>> consumer) {
        int generation = origin.generation();
        origin.node()
                .leader()
                .map(leader -> mInstances.get(leader.name()))
                .ifPresent(
                        leader ->
                                transmit(
                                        origin,
                                        leader,
                                        () ->
                                                leader.propose(
                                                        command,
                                                        result ->
                                                                sendResult(
                                                                        leader,
                                                                        origin,
                                                                        generation,
                                                                        consumer,
                                                                        result))));
    }

    private void sendResult(
            SimulatedInstance leader,
            SimulatedInstance origin,
            int generation,
            Consumer<Optional<StateResult>> consumer,
            Optional<StateResult> result) {
        transmit(
                leader,
                origin,
                () -> {
                    if (origin.generation() == generation) {
                        consumer.accept(result);
                    }
                });
    }

    /** Resets the traffic counters and starts to count encoded bytes by sender. */
    void countTraffic() {
        mCountBytes = true;
        mMessagesBySender.clear();
        mBytesBySender.clear();
    }

    long messagesOf(SimulatedInstance sender) {
        return mMessagesBySender.getOrDefault(sender.name(), 0L);
    }

    long bytesOf(SimulatedInstance sender) {
        return mBytesBySender.getOrDefault(sender.name(), 0L);
    }

    // Faults

    void block(SimulatedInstance from, SimulatedInstance to) {
        mBlockedLinks.add(link(from, to));
    }

    void isolate(SimulatedInstance instance) {
        mInstances.values().stream()
                .filter(other -> other != instance)
                .forEach(
                        other -> {
                            block(instance, other);
                            block(other, instance);
                        });
    }

    void healNetwork() {
        mBlockedLinks.clear();
        setNetworkFaults(0, 0, NANOS_PER_MILLI);
    }

    void setNetworkFaults(
            double lossProbability, double duplicationProbability, long maxDelayNanos) {
        mLossProbability = lossProbability;
        mDuplicationProbability = duplicationProbability;
        mMaxNetworkDelayNanos = maxDelayNanos;
    }

    void setMaxDiskDelayNanos(long nanos) {
        mMaxDiskDelayNanos = nanos;
    }

    void wipe(SimulatedInstance instance) {
        instance.crash();
        instance.disk().wipe(newStore());
    }

    // State

    RandomGenerator random() {
        return mRandom;
    }

    RaftSettings settings() {
        return mSettings;
    }

    long nowNanos() {
        return mNowNanos;
    }

    long nextDiskDelayNanos() {
        return 50_000 + mRandom.nextLong(mMaxDiskDelayNanos);
    }

    SafetyChecker checker() {
        return mChecker;
    }

    Collection<SimulatedInstance> instances() {
        return mInstances.values();
    }

    SimulatedInstance instance(String name) {
        return Objects.requireNonNull(mInstances.get(name));
    }

    /** Returns the leader of the latest term, among those that committed an entry in their term. */
    Optional<SimulatedInstance> leader() {
        return mInstances.values().stream()
                .filter(instance -> instance.isLeader() && instance.node().isReadyLeader())
                .max(Comparator.comparingLong(instance -> instance.node().term()));
    }

    private SimulatedInstance add(String name, String store) {
        var instance = new SimulatedInstance(this, name, store);
        mInstances.put(name, instance);
        return instance;
    }

    private String newStore() {
        mStoreCount++;
        return "store-" + mStoreCount;
    }

    private static Member member(SimulatedInstance instance, MemberRole role) {
        return new Member(instance.memberId(), role, "");
    }

    private static String link(SimulatedInstance from, SimulatedInstance to) {
        return from.name() + ">" + to.name();
    }
}
