package dev.kumquatweir.program.system;

import dev.kumquatweir.platform.AnswerFault;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A fleet under traffic whose processes are stopped as planned, killed, suspended, told of new
 * settings and started again in series that overlap, in front of an upstream some of whose answers
 * are faulty. All choices follow from the seed.
 */
final class PlannedStopSoak implements AutoCloseable {
    private static final int ENTRIES = 3;
    private static final int UPSTREAMS = 3;
    private static final int FAULTY_UPSTREAMS = 1;
    private static final int REQUESTS_PER_FAULT = 20;
    private static final int LONGEST_FREEZE_MILLIS = 1_500;
    private static final List<AnswerFault> FAULTS =
            List.of(
                    AnswerFault.HEAD_CUT,
                    AnswerFault.HEAD_RESET,
                    AnswerFault.HEADERS_CUT,
                    AnswerFault.BODY_CUT,
                    AnswerFault.BODY_CUT_BETWEEN_EVENTS,
                    AnswerFault.ERROR,
                    AnswerFault.BREAK_THEN_ERROR);
    private static final int LONGEST_IDLE_MILLIS = 4_000;

    private final Random mRandom;
    private final SoakFleet mFleet;
    private final Map<FleetNode, Long> mStopping = new HashMap<>();
    private final Map<FleetNode, Long> mFrozen = new HashMap<>();
    private int mFreezes;
    private int mKilled;
    private long mVersion = 1;

    /** Starts the processes. */
    PlannedStopSoak(Path folder, long seed) throws IOException {
        mRandom = new Random(seed);
        mFleet =
                new SoakFleet(
                        folder,
                        seed,
                        ENTRIES,
                        UPSTREAMS - FAULTY_UPSTREAMS,
                        FAULTY_UPSTREAMS,
                        request -> drawFault(seed, request.id()),
                        LONGEST_IDLE_MILLIS);
    }

    /** Lets callers send and processes fail for the given time; returns what must not be. */
    PlannedStopCheck run(Duration duration) {
        mFleet.awaitServing();
        long endNanos = System.nanoTime() + duration.toNanos();
        mFleet.startCallers();
        while (System.nanoTime() - endNanos < 0) {
            act();
            long pauseMillis = 100L + mRandom.nextInt(1_500);
            long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(pauseMillis);
            while (System.nanoTime() - untilNanos < 0) {
                tendStopping(System.nanoTime());
                thaw(System.nanoTime());
                Waiting.pause();
            }
        }
        thaw(Long.MAX_VALUE);
        return mFleet.stopCallers(
                "stops=%d crashes=%d freezes=%d killed=%d"
                        .formatted(
                                mFleet.nodes().mapToInt(node -> node.terminations().size()).sum(),
                                mFleet.nodes().mapToInt(node -> node.crashes().size()).sum(),
                                mFreezes,
                                mKilled));
    }

    @Override
    public void close() {
        mFleet.close();
    }

    // Faults.

    private void act() {
        FleetNode any = pick(mFleet.nodes().toList());
        switch (mRandom.nextInt(12)) {
            case 0, 1, 2, 3 -> terminate(pick(mFleet.entries()), mFleet.entries(), ENTRIES - 1);
            case 4 ->
                    terminate(
                            mRandom.nextBoolean() ? mFleet.leader() : pick(mFleet.controls()),
                            mFleet.controls(),
                            1);
            case 5 -> mStopping.keySet().forEach(node -> node.process().beginTermination());
            case 6 -> any.process().hangUp();
            case 7 -> {
                List<String> seeds = new ArrayList<>(mFleet.seeds());
                Collections.shuffle(seeds, mRandom);
                any.writeSettings(seeds, false);
                any.process().hangUp();
            }
            case 8 -> crash(pick(mFleet.entries()), mFleet.entries(), ENTRIES - 1);
            case 9 -> crash(pick(mFleet.controls()), mFleet.controls(), 1);
            case 10 -> freeze(any);
            default -> {
                long version = ++mVersion;
                FleetNode node = pick(mFleet.controls());
                Thread.ofVirtual().start(() -> mFleet.put(node, version));
            }
        }
    }

    /** Begins a planned stop, unless as many of the group stop already. */
    private void terminate(FleetNode node, List<FleetNode> group, int most) {
        boolean enough = group.stream().filter(mStopping::containsKey).count() >= most;
        if (!enough && !mStopping.containsKey(node) && !mFrozen.containsKey(node)) {
            long nowNanos = System.nanoTime();
            node.terminate(nowNanos);
            mStopping.put(node, restartNanos(nowNanos));
        }
    }

    /** Kills a process, unless as many of the group stop already; this one may be among them. */
    private void crash(FleetNode node, List<FleetNode> group, int most) {
        boolean enough = group.stream().filter(mStopping::containsKey).count() >= most;
        if (mStopping.containsKey(node) || !enough) {
            long nowNanos = System.nanoTime();
            node.crash(nowNanos);
            mFrozen.remove(node);
            mStopping.put(node, restartNanos(nowNanos));
        }
    }

    private long restartNanos(long nowNanos) {
        return nowNanos + TimeUnit.MILLISECONDS.toNanos(mRandom.nextInt(1_000));
    }

    /** Suspends a process for a while that isn't stopping: its time for a stop would go on. */
    private void freeze(FleetNode node) {
        if (!mStopping.containsKey(node) && !mFrozen.containsKey(node)) {
            node.process().freeze();
            mFreezes++;
            long millis = mRandom.nextInt(LONGEST_FREEZE_MILLIS);
            mFrozen.put(node, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis));
        }
    }

    private void thaw(long nowNanos) {
        for (FleetNode node : List.copyOf(mFrozen.keySet())) {
            if (nowNanos == Long.MAX_VALUE || nowNanos - mFrozen.get(node) > 0) {
                node.process().thaw();
                mFrozen.remove(node);
            }
        }
    }

    /** Draws by the id of the request, so that a replay draws the same. */
    private static AnswerFault drawFault(long seed, String request) {
        int drawn =
                Math.floorMod(
                        31 * request.hashCode() + Long.hashCode(seed),
                        REQUESTS_PER_FAULT * FAULTS.size());
        return drawn < FAULTS.size() ? FAULTS.get(drawn) : AnswerFault.NONE;
    }

    /** Ends processes that outlive the grace period and starts those again that have ended. */
    private void tendStopping(long nowNanos) {
        for (FleetNode node : List.copyOf(mStopping.keySet())) {
            boolean alive = node.process().alive();
            if (alive && nowNanos - node.terminations().getLast() > SoakFleet.grace().toNanos()) {
                node.process().kill();
                mKilled++;
            } else if (!alive && nowNanos - mStopping.get(node) > 0) {
                node.process().startAgain();
                mStopping.remove(node);
            }
        }
    }

    private FleetNode pick(List<FleetNode> nodes) {
        return nodes.get(mRandom.nextInt(nodes.size()));
    }
}
