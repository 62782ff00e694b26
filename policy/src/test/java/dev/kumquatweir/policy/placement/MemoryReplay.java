package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.CallerLimits;
import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Simulates a scheduler and engines that crash when the tokens that they hold exceed their memory,
 * in virtual time. An engine holds a prompt from the placement on, its output as it is generated,
 * both until the caller has read the answer, and parts of prompts that it prefills for others until
 * these answers start.
 */
final class MemoryReplay {
    static final EngineCost COST =
            new EngineCost(8, 232_000, 0.925, 0.007, 0.00254, 256, 0.0917, 2_048, 46, 0.1);

    private static final int ENTRIES = 10;
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /** Entry instances notice a new leader one after the other, at this distance. */
    private static final long REPORT_MILLIS = 40;

    /** They report helpers once they know that the leader understands this. */
    private static final long HELPERS_MILLIS = 10;

    private static final long RESTART_MILLIS = 3_000;

    private final SchedulerFeatures mFeatures;
    private final PriorityQueue<ScheduledEvent> mEvents = new PriorityQueue<>();
    private final Map<UpstreamId, Engine> mEngines = new LinkedHashMap<>();
    private final Map<PlacementKey, Work> mWork = new LinkedHashMap<>();
    private PlacementScheduler mScheduler;
    private long mLastNumber;
    private long mLastOrder;
    private int mCrashCount;

    /** Size and targets of a class of requests. */
    record Kind(String route, long promptTokens, long expectedTokens, long targetMillis) {}

    private record ScheduledEvent(long nanos, long order, Runnable action)
            implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A request with its real length, and where it stands. */
    static final class Work {
        private final PlacementRequest mRequest;
        private final long mOutputTokens;
        private final long mReadMillis;
        private final List<Engine> mEngines = new ArrayList<>();
        private final List<Long> mReserved = new ArrayList<>();
        private long mGrantedNanos;
        private long mGenerated;
        private long mReservedSum;
        private int mPartsLeft;
        private boolean mStarted;
        private boolean mOnTime;
        private boolean mFinished;
        private boolean mOver;

        Work(PlacementRequest request, long outputTokens, long readMillis) {
            mRequest = request;
            mOutputTokens = outputTokens;
            mReadMillis = readMillis;
        }

        boolean onTime() {
            return mOnTime && mFinished;
        }
    }

    private final class Engine {
        private final UpstreamId mId;
        private final Set<Work> mHolding = new LinkedHashSet<>();
        private final List<Work> mPrefilling = new ArrayList<>();
        private final List<Work> mDecoding = new ArrayList<>();
        private long mStartedMillis = 1;
        private boolean mBusy;
        private boolean mDown;
        private int mLife;

        Engine(UpstreamId id) {
            mId = id;
        }

        private double heldTokens() {
            double held = 0;
            for (Work work : mHolding) {
                int index = work.mEngines.indexOf(this);
                if (index == 0) {
                    long tokens = work.mRequest.promptTokens() + work.mGenerated;
                    held += Math.max(0, tokens - work.mReservedSum);
                } else {
                    long part = work.mRequest.promptTokens() / work.mEngines.size();
                    held += work.mReserved.get(index) + (work.mStarted ? 0 : part);
                }
            }
            return held;
        }

        private void add(Work work, long nowNanos) {
            mHolding.add(work);
            mPrefilling.add(work);
            if (!crashIfFull(nowNanos) && !mBusy) {
                runPass(nowNanos);
            }
        }

        private boolean crashIfFull(long nowNanos) {
            if (mDown || heldTokens() <= COST.kvCacheTokens()) {
                return mDown;
            }
            mDown = true;
            mBusy = false;
            mLife++;
            mCrashCount++;
            List.copyOf(mHolding).forEach(work -> end(work, PlacementOutcome.BROKEN, nowNanos));
            mHolding.clear();
            mPrefilling.clear();
            mDecoding.clear();
            long backNanos = nowNanos + RESTART_MILLIS * MILLI;
            schedule(
                    backNanos,
                    () -> {
                        mDown = false;
                        mStartedMillis = backNanos / MILLI;
                        heartbeat(this, backNanos);
                    });
            return true;
        }

        private void runPass(long nowNanos) {
            mPrefilling.removeIf(work -> work.mOver);
            mDecoding.removeIf(work -> work.mOver);
            mBusy = !mPrefilling.isEmpty() || !mDecoding.isEmpty();
            if (!mBusy) {
                return;
            }
            List<Work> prefilled = List.copyOf(mPrefilling);
            mPrefilling.clear();
            double millis = mDecoding.isEmpty() ? 0 : COST.decodePassMillis(mDecoding.size(), 0);
            for (Work work : prefilled) {
                long prompt = work.mRequest.promptTokens();
                millis += COST.prefillMillis(prompt) / work.mEngines.size();
            }
            long endNanos = nowNanos + (long) (millis * MILLI);
            int life = mLife;
            schedule(endNanos, () -> endPass(prefilled, life, endNanos));
        }

        private void endPass(List<Work> prefilled, int life, long nowNanos) {
            if (life != mLife) {
                return;
            }
            for (Work work : List.copyOf(mDecoding)) {
                generate(work, nowNanos);
                if (mDown) {
                    return;
                }
            }
            for (Work work : prefilled) {
                work.mPartsLeft--;
                if (work.mPartsLeft == 0 && !work.mOver) {
                    work.mEngines.get(0).decode(work, nowNanos);
                }
            }
            if (life == mLife) {
                runPass(nowNanos);
            }
        }

        private void decode(Work work, long nowNanos) {
            mDecoding.add(work);
            if (!mBusy) {
                runPass(nowNanos);
            }
        }

        private void generate(Work work, long nowNanos) {
            long left = work.mOutputTokens - work.mGenerated;
            work.mGenerated += Math.min(COST.stepsPerPass(), left);
            if (crashIfFull(nowNanos)) {
                return;
            }
            if (!work.mStarted) {
                work.mStarted = true;
                work.mOnTime = nowNanos - work.mRequest.targetNanos() <= 0;
                mScheduler.recordFirstEvent(work.mRequest.key(), nowNanos);
            }
            if (work.mGenerated >= work.mOutputTokens) {
                mDecoding.remove(work);
                long readNanos = nowNanos + work.mReadMillis * MILLI;
                schedule(readNanos, () -> finish(work, readNanos));
            }
        }
    }

    MemoryReplay(SchedulerFeatures features, int engines) {
        mFeatures = features;
        mScheduler = new PlacementScheduler(new PlacementLimits(0.2, 100, 10_000), features);
        for (int number = 0; number < engines; number++) {
            UpstreamId id = new UpstreamId("engine-" + number);
            mEngines.put(id, new Engine(id));
        }
        configure(0);
    }

    /**
     * Adds a request.
     *
     * @param outputTokens real length of its answer
     * @param readMillis time for which the engine holds it after its last event
     */
    Work arrive(double atMillis, Kind kind, long outputTokens, long readMillis) {
        long nowNanos = (long) (atMillis * MILLI);
        mLastNumber++;
        InstanceId owner = new InstanceId("entry-" + mLastNumber % ENTRIES);
        PlacementRequest request =
                PlacementRequest.builder(
                                new PlacementKey(owner, mLastNumber),
                                "request-" + mLastNumber,
                                SchedulerReplay.SERVICE)
                        .contentHash("request-" + mLastNumber)
                        .origin("team", kind.route())
                        .times(
                                nowNanos + kind.targetMillis() * MILLI,
                                nowNanos + Math.max(2_000, 2 * kind.targetMillis()) * MILLI,
                                nowNanos + 60_000 * MILLI)
                        .generation(kind.promptTokens(), kind.expectedTokens(), 0)
                        .build();
        Work work = new Work(request, outputTokens, readMillis);
        mWork.put(request.key(), work);
        schedule(
                nowNanos,
                () -> {
                    mScheduler.submit(request, nowNanos);
                    decide(nowNanos);
                });
        return work;
    }

    /** Replaces the scheduler; entry instances report to the new one after the other. */
    void changeLeader(double atMillis) {
        long nowNanos = (long) (atMillis * MILLI);
        schedule(
                nowNanos,
                () -> {
                    mScheduler =
                            new PlacementScheduler(
                                    new PlacementLimits(0.2, 100, 10_000), mFeatures);
                    configure(nowNanos);
                    mScheduler.beginTakeover(nowNanos);
                });
        for (int entry = 0; entry < ENTRIES; entry++) {
            InstanceId owner = new InstanceId("entry-" + entry);
            long reportNanos = nowNanos + (1 + entry * REPORT_MILLIS) * MILLI;
            schedule(reportNanos, () -> report(owner, nowNanos, reportNanos));
            long helpersNanos = reportNanos + HELPERS_MILLIS * MILLI;
            schedule(helpersNanos, () -> reportHelpers(owner, nowNanos, helpersNanos));
        }
    }

    private void report(InstanceId owner, long changedNanos, long nowNanos) {
        for (Work work : List.copyOf(mWork.values())) {
            boolean earlier = work.mRequest.key().owner().equals(owner) && !work.mOver;
            if (earlier && !work.mEngines.isEmpty()) {
                mScheduler.registerRunning(
                        work.mRequest,
                        work.mEngines.get(0).mId,
                        work.mStarted,
                        work.mGrantedNanos,
                        nowNanos);
            } else if (earlier && arrivedBefore(work, changedNanos)) {
                mScheduler.submit(work.mRequest, nowNanos);
            }
        }
        decide(nowNanos);
    }

    private void reportHelpers(InstanceId owner, long changedNanos, long nowNanos) {
        for (Work work : mWork.values()) {
            boolean earlier = !work.mEngines.isEmpty() && work.mGrantedNanos - changedNanos < 0;
            if (work.mRequest.key().owner().equals(owner) && earlier && !work.mOver) {
                List<PlacementHelper> helpers = new ArrayList<>();
                for (int index = 1; index < work.mEngines.size(); index++) {
                    UpstreamId id = work.mEngines.get(index).mId;
                    helpers.add(new PlacementHelper(id, id.value(), work.mReserved.get(index)));
                }
                mScheduler.registerHelpers(work.mRequest.key(), helpers, nowNanos);
            }
        }
    }

    private static boolean arrivedBefore(Work work, long nanos) {
        return work.mRequest.deadlineNanos() - 60_000 * MILLI - nanos < 0;
    }

    void run(double untilMillis) {
        long untilNanos = (long) (untilMillis * MILLI);
        for (long tick = 0; tick < untilNanos; tick += 10 * MILLI) {
            long nowNanos = tick;
            schedule(nowNanos, () -> decide(nowNanos));
            if (tick % (1_000 * MILLI) == 0) {
                schedule(nowNanos, () -> sendHeartbeats(nowNanos));
            }
        }
        while (!mEvents.isEmpty() && mEvents.peek().nanos() <= untilNanos) {
            mEvents.remove().action().run();
        }
    }

    /** Returns how many requests were answered completely. */
    long finishedCount() {
        return mWork.values().stream().filter(work -> work.mFinished).count();
    }

    /** Returns how often an engine crashed since it held more than its memory. */
    int crashCount() {
        return mCrashCount;
    }

    private void configure(long nowNanos) {
        mScheduler.setRouting(
                new RoutingTable(
                        1,
                        List.of(),
                        List.of(new RoutedService(SchedulerReplay.SERVICE, 0, Optional.of(COST))),
                        List.of(),
                        new CallerLimits(1_000)),
                Set.of());
        sendHeartbeats(nowNanos);
    }

    private void sendHeartbeats(long nowNanos) {
        mEngines.values().stream()
                .filter(engine -> !engine.mDown)
                .forEach(engine -> heartbeat(engine, nowNanos));
    }

    private void heartbeat(Engine engine, long nowNanos) {
        mScheduler.updateUpstream(
                new UpstreamStatus(
                        engine.mId,
                        engine.mStartedMillis,
                        SchedulerReplay.SERVICE,
                        engine.mId.value(),
                        new FailureDomain("a"),
                        COST.maximumConcurrentRequests(),
                        UpstreamPhase.READY,
                        0,
                        1 + nowNanos),
                nowNanos);
    }

    private void decide(long nowNanos) {
        for (PlacementAction action : mScheduler.decide(nowNanos)) {
            Work work = Objects.requireNonNull(mWork.get(action.key()));
            switch (action) {
                case PlacementAction.Reject _ -> work.mOver = true;
                case PlacementAction.Grant grant -> start(work, grant.grant(), nowNanos);
            }
        }
    }

    private void start(Work work, PlacementGrant grant, long nowNanos) {
        work.mGrantedNanos = nowNanos;
        work.mEngines.add(Objects.requireNonNull(mEngines.get(grant.upstream())));
        work.mReserved.add(0L);
        for (PlacementHelper helper : grant.helpers()) {
            work.mEngines.add(Objects.requireNonNull(mEngines.get(helper.upstream())));
            work.mReserved.add(helper.reservedTokens());
            work.mReservedSum += helper.reservedTokens();
        }
        work.mPartsLeft = work.mEngines.size();
        if (work.mEngines.stream().anyMatch(engine -> engine.mDown)) {
            end(work, PlacementOutcome.NOT_CONNECTED, nowNanos);
            return;
        }
        for (Engine engine : work.mEngines) {
            if (!work.mOver) {
                engine.add(work, nowNanos);
            }
        }
    }

    private void finish(Work work, long nowNanos) {
        if (!work.mOver) {
            work.mFinished = true;
            long steps = COST.stepsPerPass();
            long events = (work.mOutputTokens + steps - 1) / steps;
            mScheduler.recordEventCount(work.mRequest.key(), events, nowNanos);
            end(work, PlacementOutcome.ANSWERED, nowNanos);
            decide(nowNanos);
        }
    }

    private void end(Work work, PlacementOutcome outcome, long nowNanos) {
        work.mOver = true;
        work.mEngines.forEach(engine -> engine.mHolding.remove(work));
        mScheduler.ended(work.mRequest.key(), outcome, "", nowNanos);
    }

    private void schedule(long nanos, Runnable action) {
        mLastOrder++;
        mEvents.add(new ScheduledEvent(nanos, mLastOrder, action));
    }
}
