package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.UpstreamPhase;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/** Failures and departures that a simulation schedules. */
final class ReplayFailures {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final SchedulerReplay mReplay;

    ReplayFailures(SchedulerReplay replay) {
        mReplay = replay;
    }

    /**
     * Replaces the scheduler by a new one, which learns of the running requests and gets the
     * waiting ones again.
     */
    void loseLeader(double atMillis) {
        long nowNanos = (long) (atMillis * MILLI);
        mReplay.schedule(nowNanos, () -> replaceScheduler(nowNanos));
    }

    private void replaceScheduler(long nowNanos) {
        mReplay.mCluster.replaceScheduler();
        mReplay.sendHeartbeats(nowNanos);
        for (SchedulerReplay.Engine engine : mReplay.mEngines.values()) {
            engine.mDecoding.forEach(placed -> register(placed, true, nowNanos));
            engine.mPrefillQueue.forEach(placed -> register(placed, false, nowNanos));
        }
        mReplay.mOutcomes.values().stream()
                .filter(outcome -> outcome.waiting(nowNanos))
                .sorted(Comparator.comparingLong(outcome -> outcome.mArrivedNanos))
                .forEach(outcome -> mReplay.scheduler().submit(outcome.mRequest, nowNanos));
    }

    private void register(SchedulerReplay.PlacedRequest placed, boolean started, long nowNanos) {
        PlacementRequest request =
                Objects.requireNonNull(mReplay.mOutcomes.get(placed.mKey)).mRequest;
        mReplay.scheduler()
                .registerRunning(request, placed.mPrimary.mId, started, nowNanos, nowNanos);
    }

    /** Lets engines crash together that have the given share of all numbers. */
    void crashTogether(double atMillis, double share) {
        long nowNanos = (long) (atMillis * MILLI);
        mReplay.schedule(
                nowNanos,
                () -> {
                    List<SchedulerReplay.Engine> up =
                            mReplay.mEngines.values().stream()
                                    .filter(engine -> !engine.mDown)
                                    .sorted(Comparator.comparing(engine -> !engine.mBusy))
                                    .toList();
                    up.subList(0, (int) (share * up.size()))
                            .forEach(engine -> engine.crash(nowNanos));
                });
    }

    /** Lets an engine leave and a new one take its place after a while. */
    void replace(int number, double atMillis, double downMillis) {
        UpstreamId id = new UpstreamId("engine-" + number);
        long nowNanos = (long) (atMillis * MILLI);
        mReplay.schedule(
                nowNanos,
                () -> {
                    mReplay.engine(id).mLeaving = true;
                    mReplay.mCluster.heartbeat(id, UpstreamPhase.DRAINING, nowNanos);
                });
        long backNanos = nowNanos + (long) (downMillis * MILLI);
        mReplay.schedule(
                backNanos, () -> mReplay.addEngine(new UpstreamId("next-" + number), 1, backNanos));
    }
}
