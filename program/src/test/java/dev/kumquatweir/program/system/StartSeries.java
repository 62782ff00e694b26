package dev.kumquatweir.program.system;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Ends one instance again and again, at drawn moments of its start and later, and starts it again.
 * Some of its ends leave the disk as a loss of power does. Driven by one thread, which passes the
 * present time.
 */
final class StartSeries {
    private static final long START_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long LATER_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long RESTART_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long STOP_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final double EARLY_SHARE = 0.7;
    private static final double PLANNED_SHARE = 0.25;
    private static final double CALM_SHARE = 0.45;
    private static final double EMPTY_SHARE = 0.15;
    private static final double TORN_SHARE = 0.3;

    /** What the series does next. */
    private enum State {
        RUNNING,
        STOPPING,
        ENDED
    }

    private final StartInstance mInstance;
    private final Random mRandom;
    // Apart from the other draws, so that a seed keeps its ends and losses.
    private final Random mTorn;
    private final LostDisks mDisks;
    private final Consumer<StartInstance> mOnEmptied;
    private final List<String> mFindings = new ArrayList<>();
    private State mState = State.RUNNING;
    private boolean mCalm;
    private long mNextNanos;
    private long mNextPhaseNanos;
    private int mEnds;

    /**
     * @param instance a running instance
     * @param onEmptied prepares the settings of an instance that has lost its folder
     */
    StartSeries(
            StartInstance instance,
            long seed,
            LostDisks disks,
            Consumer<StartInstance> onEmptied,
            long nowNanos) {
        mInstance = instance;
        mRandom = new Random(seed);
        mTorn = new Random(~seed);
        mDisks = disks;
        mOnEmptied = onEmptied;
        drawEnd(nowNanos);
        mNextPhaseNanos = nowNanos;
    }

    /** Does what is due. */
    void step(long nowNanos) {
        if (nowNanos - mNextPhaseNanos >= 0) {
            mCalm = mRandom.nextDouble() < CALM_SHARE;
            mNextPhaseNanos = nowNanos + draw(LATER_NANOS);
        }
        advance(nowNanos, mCalm);
    }

    /** Lets an end that has begun finish and starts the instance; returns whether it is back. */
    boolean settle(long nowNanos) {
        advance(nowNanos, true);
        return mState == State.RUNNING;
    }

    /** Returns what should not have happened. */
    List<String> findings() {
        return mFindings;
    }

    int ends() {
        return mEnds;
    }

    private void advance(long nowNanos, boolean calm) {
        switch (mState) {
            case RUNNING -> {
                if (!mInstance.process().alive()) {
                    report("ended by itself with " + mInstance.process().awaitEnd());
                    ended(nowNanos);
                } else if (!calm && nowNanos - mNextNanos >= 0) {
                    end(nowNanos);
                }
            }
            case STOPPING -> awaitStop(nowNanos);
            case ENDED -> {
                if (nowNanos - mNextNanos >= 0) {
                    startAgain(nowNanos);
                }
            }
        }
    }

    private void end(long nowNanos) {
        mEnds++;
        if (mRandom.nextDouble() < PLANNED_SHARE) {
            mInstance.process().beginTermination();
            mState = State.STOPPING;
            mNextNanos = nowNanos + STOP_LIMIT_NANOS;
        } else {
            mInstance.process().kill();
            if (mInstance.control() && mTorn.nextDouble() < TORN_SHARE) {
                mInstance.tearTail(mTorn);
            }
            ended(nowNanos);
        }
    }

    private void awaitStop(long nowNanos) {
        if (!mInstance.process().alive()) {
            int status = mInstance.process().awaitEnd();
            if (status != 0 && !endedBeforeProgram(status, mInstance.log())) {
                report("SIGTERM ended it with " + status);
            }
            ended(nowNanos);
        } else if (nowNanos - mNextNanos >= 0) {
            report("SIGTERM did not end it");
            mInstance.process().kill();
            ended(nowNanos);
        }
    }

    private void ended(long nowNanos) {
        mState = State.ENDED;
        mNextNanos = nowNanos + draw(RESTART_NANOS);
        boolean empty = mInstance.control() && mRandom.nextDouble() < EMPTY_SHARE;
        if (empty && mDisks.mayLose(mInstance, nowNanos)) {
            mInstance.emptyFolder();
            mOnEmptied.accept(mInstance);
        }
    }

    /**
     * Returns whether the JVM ended by the signal before the program could set its hook. In the
     * middle of its own initialization it gives up with an InternalError and status 1.
     */
    private static boolean endedBeforeProgram(int status, String log) {
        return switch (status) {
            case 143 -> log.isEmpty();
            case 1 -> log.startsWith("Error occurred during initialization of VM\n");
            default -> false;
        };
    }

    private void startAgain(long nowNanos) {
        mInstance.start();
        mState = State.RUNNING;
        drawEnd(nowNanos);
    }

    private void drawEnd(long nowNanos) {
        boolean early = mRandom.nextDouble() < EARLY_SHARE;
        mNextNanos = nowNanos + (early ? draw(START_NANOS) : START_NANOS + draw(LATER_NANOS));
    }

    private long draw(long limitNanos) {
        return (long) (mRandom.nextDouble() * limitNanos);
    }

    private void report(String finding) {
        mFindings.add(mInstance.name() + " " + finding + "; last: " + mInstance.lastLine());
    }
}
