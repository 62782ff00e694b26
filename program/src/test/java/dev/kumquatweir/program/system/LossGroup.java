package dev.kumquatweir.program.system;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Five control instances that may lose two disks at once, beside a loss of power of the others, and
 * an operator that puts documents. What happens to them follows from the seed.
 */
final class LossGroup implements AutoCloseable {
    private static final int INSTANCES = 5;
    private static final int LOST_DISKS = 2;

    /** Running time of a replacement after which further disks may be lost. */
    private static final Duration ALLOWANCE = Duration.ofSeconds(4);

    /** Time after a restart in which the group has to answer again. */
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(12);

    private static final Duration VOTERS_LIMIT = Duration.ofSeconds(20);
    private static final Duration UNPLANNED_START = Duration.ofSeconds(1);
    private static final Duration RESTART = Duration.ofMillis(600);
    private static final int LONGEST_LOSS_DELAY_MILLIS = 1_500;
    private static final List<LossReplacement> REPLACEMENTS =
            List.of(
                    new LossReplacement.Planned(Duration.ofSeconds(5)),
                    new LossReplacement.Planned(Duration.ofSeconds(2)),
                    new LossReplacement.Unplanned(),
                    new LossReplacement.EmptiedDisk());

    private static final long SEED_FACTOR = 0x9E37_79B9_7F4A_7C15L;

    private final Path mFolder;
    private final long mSeed;
    private final Random mRandom;
    // Apart from the other draws, so that a seed keeps its replacements and losses.
    private final Random mTorn;
    private final String mNetwork;
    private final List<LossNode> mNodes = new ArrayList<>();
    private final LossOperator mOperator = new LossOperator();
    private int mAddresses;

    /** Starts the processes and waits until the group has all its voters. */
    LossGroup(Path folder, long seed) {
        mFolder = folder;
        mSeed = seed;
        // Random draws much the same first numbers for seeds that lie close together.
        mRandom = new Random(seed * SEED_FACTOR);
        mTorn = new Random(~seed * SEED_FACTOR);
        // Addresses of the loopback network, others for each test process.
        mNetwork = "127.79." + (1 + ProcessHandle.current().pid() % 200) + ".";
        List<String> seeds =
                IntStream.range(0, INSTANCES).mapToObj(number -> nextAddress()).toList();
        seeds.forEach(address -> mNodes.add(new LossNode(folder, address, seeds, true)));
        mOperator.use(mNodes);
    }

    /** Waits until the group has all its voters and takes documents. */
    void awaitVoters() {
        await(VOTERS_LIMIT, "all instances vote", this::allVote);
        await(VOTERS_LIMIT, "a document is taken", mOperator::put);
    }

    /** Replaces one voter, loses two further disks and checks that no document is lost. */
    void playRound(int round) {
        LossReplacement replacement = REPLACEMENTS.get(mRandom.nextInt(REPLACEMENTS.size()));
        LossNode replaced = mNodes.get(mRandom.nextInt(mNodes.size()));
        int delayMillis = mRandom.nextInt(LONGEST_LOSS_DELAY_MILLIS + 1);
        String start =
                "seed=%d round=%d kind=%s replaced=%s delay_ms=%d"
                        .formatted(mSeed, round, replacement, replaced.address(), delayMillis);
        mOperator.resume();
        LossNode successor = replace(replacement, replaced);
        Waiting.during(ALLOWANCE.minus(successor.running()));
        checkAlive(start);
        Waiting.during(Duration.ofMillis(delayMillis));
        mOperator.pause();
        await(ANSWER_LIMIT, "before the loss a document is taken; " + start, mOperator::put);
        checkAlive(start);
        List<LossNode> victims = loseDisks();
        String line = start + " victims=" + victims.stream().map(LossNode::address).toList();
        long backNanos = System.nanoTime();
        long readMillis = awaitRead(line);
        await(
                ANSWER_LIMIT.minus(Duration.ofNanos(System.nanoTime() - backNanos)),
                "a document is taken; " + line,
                mOperator::put);
        long putMillis = Duration.ofNanos(System.nanoTime() - backNanos).toMillis();
        mOperator.resume();
        await(VOTERS_LIMIT, "all instances vote; " + line, this::allVote);
        List<Long> votedMillis =
                victims.stream()
                        .flatMap(victim -> victim.votedAfter().stream())
                        .map(Duration::toMillis)
                        .toList();
        mOperator.pause();
        checkAlive(line);
        System.out.printf(
                "%s read_ms=%d put_ms=%d voted_ms=%s%n", line, readMillis, putMillis, votedMillis);
    }

    @Override
    public void close() {
        mOperator.close();
        mNodes.forEach(LossNode::close);
    }

    // Faults.

    private LossNode replace(LossReplacement replacement, LossNode replaced) {
        return switch (replacement) {
            case LossReplacement.Planned planned -> {
                LossNode successor = startSuccessor();
                Waiting.during(planned.lead());
                checkAlive("before the planned stop");
                remove(replaced);
                replaced.process().terminate();
                yield successor;
            }
            case LossReplacement.Unplanned _ -> {
                remove(replaced);
                replaced.process().kill();
                Waiting.during(UNPLANNED_START);
                yield startSuccessor();
            }
            case LossReplacement.EmptiedDisk _ -> {
                replaced.process().kill();
                replaced.emptyDisk();
                Waiting.during(RESTART);
                replaced.startAgain(addresses());
                yield replaced;
            }
        };
    }

    private LossNode startSuccessor() {
        LossNode successor = new LossNode(mFolder, nextAddress(), addresses(), false);
        mNodes.add(successor);
        mOperator.use(mNodes);
        return successor;
    }

    private void remove(LossNode node) {
        mNodes.remove(node);
        mOperator.use(mNodes);
    }

    /** Kills all processes, empties two disks, tears the logs of others and starts all again. */
    private List<LossNode> loseDisks() {
        mNodes.parallelStream().forEach(node -> node.process().kill());
        List<LossNode> drawn = new ArrayList<>(mNodes);
        Collections.shuffle(drawn, mRandom);
        List<LossNode> victims = drawn.subList(0, LOST_DISKS);
        victims.forEach(LossNode::emptyDisk);
        drawn.stream()
                .skip(LOST_DISKS)
                .filter(node -> mTorn.nextBoolean())
                .forEach(node -> node.tearTail(mTorn));
        Waiting.during(RESTART);
        mNodes.forEach(node -> node.startAgain(addresses()));
        return victims;
    }

    // Checks.

    private long awaitRead(String line) {
        long start = System.nanoTime();
        long confirmed = mOperator.confirmed();
        OptionalLong version = OptionalLong.empty();
        while (version.isEmpty()) {
            if (System.nanoTime() - start > ANSWER_LIMIT.toNanos()) {
                throw new AssertionError("no document is read back; " + line);
            }
            Waiting.pause();
            version = mOperator.read();
        }
        if (version.getAsLong() < confirmed || version.getAsLong() > mOperator.sent()) {
            throw new AssertionError(
                    "version %d is read back, %d was confirmed and %d sent; %s"
                            .formatted(version.getAsLong(), confirmed, mOperator.sent(), line));
        }
        return Duration.ofNanos(System.nanoTime() - start).toMillis();
    }

    private boolean allVote() {
        return mNodes.stream().allMatch(node -> node.knowsVoters(mNodes));
    }

    private void checkAlive(String line) {
        String ended =
                mNodes.stream()
                        .filter(node -> !node.process().alive())
                        .map(LossNode::address)
                        .collect(Collectors.joining(","));
        if (!ended.isEmpty()) {
            throw new AssertionError("processes ended by themselves: " + ended + "; " + line);
        }
    }

    private static void await(Duration limit, String what, BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > limit.toNanos()) {
                throw new AssertionError("did not happen within " + limit + ": " + what);
            }
            Waiting.pause();
        }
    }

    private List<String> addresses() {
        return mNodes.stream().map(LossNode::address).toList();
    }

    private String nextAddress() {
        mAddresses++;
        return mNetwork + mAddresses;
    }
}
