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

/** A queue of deliveries in virtual time between simulated instances; one seed, one run. */
final class Simulation {
    static final String CLUSTER = "simulated";
    static final long MILLI = 1_000_000;

    private final RandomGenerator mRandom;
    private final RaftSettings mSettings;
    private final Map<String, SimulatedInstance> mInstances = new TreeMap<>();
    private final PriorityQueue<Event> mQueue =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Set<String> mBlocked = new HashSet<>();
    private final Map<String, Long> mMessages = new TreeMap<>();
    private final Map<String, Long> mBytes = new TreeMap<>();
    private final SafetyChecker mChecker;
    private boolean mCountBytes;
    private long mNow;
    private long mOrder;
    private double mLoss;
    private double mDuplication;
    private long mDelayNanos = MILLI;
    private long mDiskNanos = 2 * MILLI;
    private int mStores;

    /** Makes voters a, b, c and so on, a spare with a disk, and a learner without one. */
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
                .forEach(instance -> instance.disk().found(SnapshotImage.founding(founding)));
        add("spare", newStore());
        mInstances.values().forEach(SimulatedInstance::boot);
    }

    /** Settings that make batches, chunks and snapshots small, so that short runs meet them. */
    static RaftSettings.Builder smallSettings() {
        return RaftSettings.builder(CLUSTER)
                .batchLimits(3, 4_096, 4)
                .snapshotChunkBytes(700)
                .snapshotPolicy(25, 1L << 30, 5);
    }

    private record Event(long at, long order, Runnable action) {}

    // Run

    void runFor(long nanos) {
        long end = mNow + nanos;
        while (!mQueue.isEmpty() && mQueue.peek().at() <= end) {
            Event event = mQueue.poll();
            mNow = event.at();
            event.action().run();
        }
        mNow = end;
    }

    /** Runs until a condition holds; fails after a generous virtual time. */
    void runUntil(String goal, java.util.function.BooleanSupplier condition) {
        long limit = mNow + 30_000 * MILLI;
        while (!condition.getAsBoolean()) {
            if (mNow > limit) {
                throw new AssertionError("not reached: " + goal);
            }
            runFor(20 * MILLI);
        }
    }

    void at(long delay, Runnable action) {
        mQueue.add(new Event(mNow + delay, mOrder++, action));
    }

    /** Runs an action of an instance later, unless it restarts; waits while it is frozen. */
    void later(SimulatedInstance instance, long delay, Runnable action) {
        int life = instance.life();
        at(delay, () -> runIn(instance, life, action));
    }

    private void runIn(SimulatedInstance instance, int life, Runnable action) {
        if (instance.life() != life || !instance.isUp()) {
            return;
        }
        if (instance.isFrozen()) {
            at(instance.frozenUntil() - mNow, () -> runIn(instance, life, action));
        } else {
            action.run();
        }
    }

    // Network

    void send(SimulatedInstance from, RaftMessage message) {
        SimulatedInstance to = mInstances.get(message.to().name());
        mMessages.merge(from.name(), 1L, Long::sum);
        if (to == null) {
            return;
        }
        if (mCountBytes) {
            mBytes.merge(from.name(), (long) MessageCodec.encode(message).size(), Long::sum);
        }
        boolean encoded = mRandom.nextInt(16) == 0;
        RaftMessage sent =
                encoded ? MessageCodec.decode(MessageCodec.encode(message)).get() : message;
        if (encoded && !sent.equals(message)) {
            throw new AssertionError("codec changed " + message);
        }
        transmit(from, to, () -> to.step(new RaftInput.Receive(sent)));
    }

    /** Carries something to an instance, perhaps never, twice or late. */
    void transmit(SimulatedInstance from, SimulatedInstance to, Runnable arrival) {
        int copies = mRandom.nextDouble() < mDuplication ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (mRandom.nextDouble() < mLoss) {
                continue;
            }
            long delay = 50_000 + mRandom.nextLong(mDelayNanos);
            at(delay, () -> arrive(from, to, arrival));
        }
    }

    private void arrive(SimulatedInstance from, SimulatedInstance to, Runnable arrival) {
        if (!mBlocked.contains(link(from, to)) && to.isUp()) {
            runIn(to, to.life(), arrival);
        }
    }

    /** Proposes a command at the leader that the origin knows, and carries the result back. */
    void request(
            SimulatedInstance origin,
            LongFunction<StateCommand> command,
            Consumer<Optional<StateResult>> consumer) {
        int life = origin.life();
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
                                                                answer(
                                                                        leader, origin, life,
                                                                        consumer, result))));
    }

    private void answer(
            SimulatedInstance leader,
            SimulatedInstance origin,
            int life,
            Consumer<Optional<StateResult>> consumer,
            Optional<StateResult> result) {
        transmit(
                leader,
                origin,
                () -> {
                    if (origin.life() == life) {
                        consumer.accept(result);
                    }
                });
    }

    /** Counts messages and encoded bytes by sender from now on. */
    void countTraffic() {
        mCountBytes = true;
        mMessages.clear();
        mBytes.clear();
    }

    long messagesOf(SimulatedInstance sender) {
        return mMessages.getOrDefault(sender.name(), 0L);
    }

    long bytesOf(SimulatedInstance sender) {
        return mBytes.getOrDefault(sender.name(), 0L);
    }

    // Faults

    void block(SimulatedInstance from, SimulatedInstance to) {
        mBlocked.add(link(from, to));
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
        mBlocked.clear();
        setNetwork(0, 0, MILLI);
    }

    void setNetwork(double loss, double duplication, long delayNanos) {
        mLoss = loss;
        mDuplication = duplication;
        mDelayNanos = delayNanos;
    }

    void setDiskDelay(long nanos) {
        mDiskNanos = nanos;
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

    long now() {
        return mNow;
    }

    long diskDelay() {
        return 50_000 + mRandom.nextLong(mDiskNanos);
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

    /** Returns the leader with the newest term that has committed in it, if there is one. */
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
        mStores++;
        return "store-" + mStores;
    }

    private static Member member(SimulatedInstance instance, MemberRole role) {
        return new Member(instance.memberId(), role, "");
    }

    private static String link(SimulatedInstance from, SimulatedInstance to) {
        return from.name() + ">" + to.name();
    }
}
