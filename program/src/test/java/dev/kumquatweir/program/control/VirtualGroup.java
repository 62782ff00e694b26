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
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

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
    private final BiFunction<String, SplittableRandom, VirtualDisk> mDisks;
    private final SplittableRandom mRandom;
    private List<RaftMessage> mInFlight = new ArrayList<>();
    private final VirtualLinks mLinks;
    private long mNowNanos;
    private long mOriginNanos;
    private long mRequestId;
    private boolean mJoinsLikeGroupControl;
    private final Set<String> mCutOff = new HashSet<>();

    /** Creates a group with disks in memory and links without limit. */
    VirtualGroup(long seed, List<String> founders) {
        this(seed, founders, (_, random) -> VirtualDisk.inMemory(random), VirtualLinks.UNLIMITED);
    }

    /**
     * Creates a group with the files of the product.
     *
     * @param folders supplies the empty folder of an instance
     * @param linkBytesPerSecond what an instance sends to all others
     */
    VirtualGroup(
            long seed,
            List<String> founders,
            Function<String, Path> folders,
            long linkBytesPerSecond) {
        this(
                seed,
                founders,
                (name, _) -> VirtualDisk.inFolder(folders.apply(name)),
                linkBytesPerSecond);
    }

    private VirtualGroup(
            long seed,
            List<String> founders,
            BiFunction<String, SplittableRandom, VirtualDisk> disks,
            long linkBytesPerSecond) {
        mRandom = new SplittableRandom(seed);
        mDisks = disks;
        mLinks = new VirtualLinks(linkBytesPerSecond);
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
        SplittableRandom random = mRandom.split();
        VirtualDisk disk = mDisks.apply(name, random);
        mReplicas.put(
                name,
                new VirtualReplica(
                        name, settings, random, disk, message -> mInFlight.add(message)));
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

    long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mNowNanos - mOriginNanos);
    }

    void startIfNew(String name) {
        if (!mReplicas.containsKey(name)) {
            start(name);
        }
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
        leader().ifPresent(_ -> propose(content));
        return await(millis, () -> leader().map(at -> at.hasApplied(content)).orElse(false));
    }

    /** Proposes a command to the leader; returns the index of its entry. */
    long propose(Bytes command) {
        VirtualReplica leader = leader().orElseThrow();
        leader.step(new RaftInput.Propose(++mRequestId, command), mNowNanos);
        return leader.node().orElseThrow().lastIndex();
    }

    /** Returns whether the leader has applied a command. */
    boolean reads(String command) {
        return leader().map(leader -> leader.hasApplied(Bytes.ofText(command))).orElse(false);
    }

    Membership membership() {
        return leader().flatMap(VirtualReplica::node).map(RaftNode::membership).orElseThrow();
    }

    /** Cuts an instance off from all others, or connects it again. */
    void cutOff(String name, boolean cut) {
        if (cut) {
            mCutOff.add(name);
        } else {
            mCutOff.remove(name);
        }
    }

    /** Lets two voters read the members at the same moments and act on what they read. */
    void departBoth(String first, String second, long millis) {
        long untilNanos = mNowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        Set<String> leaving = new HashSet<>(List.of(first, second));
        while (mNowNanos < untilNanos && !leaving.isEmpty()) {
            Map<String, DeparturePlanner.Step> steps = new TreeMap<>();
            for (String name : leaving) {
                steps.put(name, nextStep(replica(name), 0));
            }
            for (Map.Entry<String, DeparturePlanner.Step> step : steps.entrySet()) {
                if (step.getValue() instanceof DeparturePlanner.Step.Request(var change)) {
                    request(change);
                    run(10);
                } else {
                    leaving.remove(step.getKey());
                    kill(step.getKey());
                }
            }
            step();
        }
        leaving.forEach(this::kill);
    }

    /** Runs the steps of a departure for some time, without the end of the process. */
    void departWithoutEnd(String name, long millis) {
        VirtualReplica self = replica(name);
        long untilNanos = mNowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        boolean transferAsked = false;
        while (mNowNanos < untilNanos) {
            boolean leads = leader().filter(self::equals).isPresent();
            if (leads && !transferAsked) {
                transferAsked = true;
                String target =
                        membership().voters().stream()
                                .filter(voter -> !voter.equals(self.id()))
                                .findFirst()
                                .orElseThrow()
                                .name();
                self.step(new RaftInput.TransferLeadership(++mRequestId, target), mNowNanos);
            } else if (!leads && leader().isPresent()) {
                if (nextStep(self, 0) instanceof DeparturePlanner.Step.Request(var change)) {
                    request(change);
                }
            }
            step();
        }
    }

    /** Lets a voter hand over leadership and its place as a planned stop does, then ends it. */
    void depart(String name, long millis) {
        VirtualReplica self = replica(name);
        long untilNanos = mNowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        if (leader().filter(self::equals).isPresent()) {
            String target =
                    membership().voters().stream()
                            .filter(voter -> !voter.equals(self.id()))
                            .min(
                                    Comparator.comparing(
                                            voter ->
                                                    self.node()
                                                            .orElseThrow()
                                                            .contactAgeNanos(voter, mNowNanos)
                                                            .orElse(0)))
                            .orElseThrow()
                            .name();
            self.step(new RaftInput.TransferLeadership(++mRequestId, target), mNowNanos);
            await(millis, () -> leader().filter(at -> !at.equals(self)).isPresent());
        }
        int refusals = 0;
        while (mNowNanos < untilNanos) {
            if (leader().isPresent()) {
                DeparturePlanner.Step step = nextStep(self, refusals);
                if (!(step instanceof DeparturePlanner.Step.Request(var change))) {
                    break;
                }
                refusals += request(change) ? 0 : 1;
            }
            step();
        }
        kill(name);
    }

    // Helpers.

    private DeparturePlanner.Step nextStep(VirtualReplica self, int refusals) {
        return DeparturePlanner.nextStep(membership(), self.id(), VOTER_TARGET, refusals);
    }

    /** Has a change made that an instance requests; returns whether the leader accepts it. */
    private boolean request(MembershipChange change) {
        boolean accepted =
                leader().flatMap(VirtualReplica::node)
                        .filter(
                                node ->
                                        MembershipPlanner.refusal(
                                                        node, change, VOTER_TARGET, mNowNanos)
                                                .isEmpty())
                        .isPresent();
        if (accepted) {
            change(change);
        }
        return accepted;
    }

    private void change(MembershipChange change) {
        leader().ifPresent(
                        leader ->
                                leader.step(
                                        new RaftInput.ChangeMembership(++mRequestId, change),
                                        mNowNanos));
    }

    private void step() {
        mNowNanos += STEP_NANOS;
        mInFlight.forEach(message -> mLinks.send(message, mNowNanos));
        mInFlight = new ArrayList<>();
        List<RaftMessage> delivered = mLinks.arrivals(mNowNanos);
        delivered.removeIf(
                message ->
                        mCutOff.contains(message.to().name())
                                || mCutOff.contains(message.from().name()));
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

    /** Lets an instance ask to join only when GroupControl would: by its own knowledge. */
    void joinLikeGroupControl() {
        mJoinsLikeGroupControl = true;
    }

    private static boolean believesToBeMember(VirtualReplica replica) {
        return replica.node()
                .map(
                        node ->
                                node.membership().find(node.self()).isPresent()
                                        && node.leader().isPresent())
                .orElse(false);
    }

    private void joinIfMissing(VirtualReplica replica) {
        if (replica.node().isEmpty()
                || leader().isEmpty()
                || mCutOff.contains(replica.id().name())
                || (mJoinsLikeGroupControl && believesToBeMember(replica))) {
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
