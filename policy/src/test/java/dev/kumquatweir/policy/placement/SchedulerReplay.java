package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.CallerLimits;
import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Simulates a scheduler and its engines under load in virtual time. Engines follow their published
 * cost model: they run in passes, each of which prefills the prompts that have arrived and then
 * emits one event for each decoding request.
 */
final class SchedulerReplay {
    static final ServiceName SERVICE = new ServiceName("engines");
    static final int SLOTS = 11;
    static final EngineCost COST =
            new EngineCost(SLOTS, 450_000, 0.925, 0.007, 0.00254, 256, 0.0917, 2_048, 46, 0.1);
    private static final InstanceId OWNER = new InstanceId("entry");
    private static final int MAXIMUM_SENDS = 3;
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final PlacementScheduler mScheduler;
    private final PriorityQueue<ScheduledEvent> mEvents = new PriorityQueue<>();
    private final Map<UpstreamId, Engine> mEngines = new HashMap<>();
    private final Map<PlacementKey, ReplayOutcome> mOutcomes = new HashMap<>();
    private final EngineFaults mFaults = new EngineFaults();
    private long mLastKeyNumber;
    private long mLastOrder;
    private long mNowNanos;
    private int mQuarantined;

    /** An action scheduled for a time. Actions with equal times keep their order. */
    private record ScheduledEvent(long nanos, long order, Runnable action)
            implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A simulated engine, with the requests waiting for prefill and those that are decoding. */
    private final class Engine {
        private final UpstreamId mId;
        private final double mSlowdown;
        private final List<PlacedRequest> mPrefillQueue = new ArrayList<>();
        private final List<PlacedRequest> mDecoding = new ArrayList<>();
        private boolean mBusy;
        private boolean mDown;

        Engine(UpstreamId id, double slowdown) {
            mId = id;
            mSlowdown = slowdown;
        }

        void add(PlacedRequest request, long nowNanos) {
            mPrefillQueue.add(request);
            if (!mBusy) {
                runPass(nowNanos);
            }
        }

        private void runPass(long nowNanos) {
            if (mPrefillQueue.isEmpty() && mDecoding.isEmpty()) {
                mBusy = false;
                return;
            }
            mBusy = true;
            double prefillMillis =
                    mPrefillQueue.stream().mapToDouble(request -> request.mPrefillMillis).sum();
            List<PlacedRequest> parts = List.copyOf(mPrefillQueue);
            mPrefillQueue.clear();
            List<PlacedRequest> starting =
                    parts.stream()
                            .filter(request -> request.mPrimary == this && request.mPartsLeft == 1)
                            .toList();
            starting.forEach(request -> request.mPartsLeft = 0);
            mDecoding.addAll(starting);
            double passMillis =
                    mDecoding.isEmpty() ? 0 : COST.decodePassMillis(mDecoding.size(), 0);
            long endNanos = nowNanos + (long) ((prefillMillis + passMillis) * mSlowdown * MILLI);
            List<PlacedRequest> helperParts =
                    parts.stream().filter(request -> !starting.contains(request)).toList();
            schedule(endNanos, () -> endPass(helperParts, endNanos));
        }

        /**
         * Starts decoding a request whose last part was prefilled by another engine or in an
         * earlier pass.
         */
        private void startDecoding(PlacedRequest request, long nowNanos) {
            mDecoding.add(request);
            if (!mBusy) {
                runPass(nowNanos);
            }
        }

        private void crash(long nowNanos) {
            mDown = true;
            List<PlacedRequest> running = new ArrayList<>(mPrefillQueue);
            running.addAll(mDecoding);
            mPrefillQueue.clear();
            mDecoding.clear();
            running.forEach(request -> endSend(request, PlacementOutcome.BROKEN, nowNanos));
            long backNanos = nowNanos + EngineFaults.RESTART_MILLIS * MILLI;
            UpstreamId next = new UpstreamId(mId.value() + "+");
            schedule(backNanos, () -> addEngine(next, mSlowdown, backNanos));
        }

        private void endPass(List<PlacedRequest> helperParts, long nowNanos) {
            if (mDown) {
                return;
            }
            for (PlacedRequest request : helperParts) {
                request.mPartsLeft--;
                if (request.mPartsLeft == 0) {
                    request.mPrimary.startDecoding(request, nowNanos);
                }
            }
            for (PlacedRequest request : List.copyOf(mDecoding)) {
                request.event(nowNanos);
                if (request.mEventsLeft == 0) {
                    mDecoding.remove(request);
                    mScheduler.ended(request.mKey, PlacementOutcome.ANSWERED, "", nowNanos);
                    decide(nowNanos);
                }
            }
            runPass(nowNanos);
        }
    }

    /** A request that the scheduler has placed, with its remaining prompt parts and events. */
    private final class PlacedRequest {
        private final PlacementKey mKey;
        private final Engine mPrimary;
        private final double mPrefillMillis;
        private int mPartsLeft;
        private int mEventsLeft;
        private double mLastEventMillis = -1;

        PlacedRequest(
                PlacementKey key, Engine primary, double prefillMillis, int parts, int events) {
            mKey = key;
            mPrimary = primary;
            mPrefillMillis = prefillMillis;
            mPartsLeft = parts;
            mEventsLeft = events;
        }

        void event(long nowNanos) {
            ReplayOutcome outcome = Objects.requireNonNull(mOutcomes.get(mKey));
            double ageMillis = (double) (nowNanos - outcome.mArrivedNanos) / MILLI;
            mEventsLeft--;
            if (mLastEventMillis < 0) {
                outcome.mFirstEventMillis = ageMillis;
                mScheduler.recordFirstEvent(mKey, nowNanos);
                scheduleFaults(this, outcome, nowNanos);
            } else {
                outcome.mLongestGapMillis =
                        Math.max(outcome.mLongestGapMillis, ageMillis - mLastEventMillis);
            }
            mLastEventMillis = ageMillis;
            outcome.mFinished = mEventsLeft == 0;
        }
    }

    /** Creates a simulation whose scheduler knows all engines. */
    SchedulerReplay(int engines) {
        this(engines, SchedulerFeatures.NONE);
    }

    /** Creates a simulation with optional parts of the scheduler. */
    SchedulerReplay(int engines, SchedulerFeatures features) {
        mScheduler = new PlacementScheduler(new PlacementLimits(0.2, 100, 10_000), features);
        mScheduler.setRouting(
                new RoutingTable(
                        1,
                        List.of(),
                        List.of(new RoutedService(SERVICE, 26, Optional.of(COST))),
                        List.of(),
                        new CallerLimits(1_000)),
                Set.of());
        for (int number = 0; number < engines; number++) {
            addEngine(number, 1);
        }
    }

    /** Creates an engine whose passes take longer than the published cost by the given factor. */
    void addEngine(int number, double pace) {
        addEngine(new UpstreamId("engine-" + number), pace, 0);
    }

    private void addEngine(UpstreamId id, double pace, long nowNanos) {
        mEngines.put(id, new Engine(id, pace));
        heartbeat(id, nowNanos);
    }

    /** Returns the faults of the engines. */
    EngineFaults faults() {
        return mFaults;
    }

    /** Returns the time that the simulation has reached. */
    long nowNanos() {
        return mNowNanos;
    }

    /** Returns how many requests were rejected as quarantined. */
    int quarantinedCount() {
        return mQuarantined;
    }

    /** Returns the scheduler. */
    PlacementScheduler scheduler() {
        return mScheduler;
    }

    /** Lets engines crash together that have the given share of all numbers. */
    void crashTogether(double atMillis, double share) {
        long nowNanos = (long) (atMillis * MILLI);
        schedule(
                nowNanos,
                () -> {
                    List<Engine> up =
                            mEngines.values().stream()
                                    .filter(engine -> !engine.mDown)
                                    .sorted(Comparator.comparing(engine -> !engine.mBusy))
                                    .toList();
                    up.subList(0, (int) (share * up.size()))
                            .forEach(engine -> engine.crash(nowNanos));
                });
    }

    /** Schedules the crash of the engine or the loss of the answer after its first event. */
    private void scheduleFaults(PlacedRequest placed, ReplayOutcome outcome, long nowNanos) {
        Engine engine = placed.mPrimary;
        long lostAfterMillis = mFaults.lostAfterMillis();
        if (mFaults.crashes(outcome.mRequest)) {
            long crashNanos = nowNanos + EngineFaults.CRASH_AFTER_FIRST_EVENT_MILLIS * MILLI;
            schedule(
                    crashNanos,
                    () -> {
                        if (!engine.mDown) {
                            mFaults.recordCrash(outcome.mRequest, (double) crashNanos / MILLI);
                            engine.crash(crashNanos);
                        }
                    });
        } else if (lostAfterMillis >= 0) {
            long lostNanos = nowNanos + lostAfterMillis * MILLI;
            schedule(
                    lostNanos,
                    () -> {
                        if (engine.mDecoding.remove(placed)) {
                            endSend(placed, PlacementOutcome.BROKEN, lostNanos);
                        }
                    });
        }
    }

    /** Ends a send without a complete answer and submits the request again. */
    private void endSend(PlacedRequest placed, PlacementOutcome result, long nowNanos) {
        ReplayOutcome outcome = Objects.requireNonNull(mOutcomes.get(placed.mKey));
        mScheduler.ended(placed.mKey, result, "", nowNanos);
        boolean sent = result == PlacementOutcome.BROKEN;
        outcome.mTried.add(placed.mPrimary.mId);
        if (outcome.mSends < MAXIMUM_SENDS) {
            mLastKeyNumber++;
            PlacementRequest first = outcome.mRequest;
            PlacementRequest next =
                    builder(mLastKeyNumber, first.sharedParts())
                            .times(
                                    first.targetNanos(),
                                    nowNanos + 2_000 * MILLI,
                                    first.deadlineNanos())
                            .generation(
                                    first.promptTokens(),
                                    46L * Math.max(1, placed.mEventsLeft),
                                    first.targetGapMillis())
                            .previousAttempts(outcome.mTried, sent)
                            .build();
            mOutcomes.put(next.key(), outcome);
            mScheduler.submit(next, nowNanos);
        }
        decide(nowNanos);
    }

    private static PlacementRequest.Builder builder(long number, List<String> parts) {
        String id = "request-" + number;
        return PlacementRequest.builder(new PlacementKey(OWNER, number), id, SERVICE)
                .contentHash(id)
                .sharedParts(parts);
    }

    private void heartbeat(UpstreamId id, long nowNanos) {
        mScheduler.updateUpstream(
                new UpstreamStatus(
                        id,
                        1,
                        SERVICE,
                        id.value(),
                        new FailureDomain("a"),
                        SLOTS,
                        UpstreamPhase.READY,
                        0,
                        1 + nowNanos),
                nowNanos);
    }

    /** Returns the number of engine comparisons that the scheduler has made. */
    long comparisonCount() {
        return mScheduler.comparisonCount();
    }

    /** Returns the number of engines that are running a pass. */
    int busyEngineCount() {
        return (int) mEngines.values().stream().filter(engine -> engine.mBusy).count();
    }

    /** Adds a request that arrives at the given time and generates 46 output tokens per event. */
    ReplayOutcome arrive(
            double atMillis, long promptTokens, int events, long targetMillis, long gapMillis) {
        return arrive(atMillis, promptTokens, events, targetMillis, gapMillis, List.of());
    }

    /** Adds a request whose prompt has the given shared parts. */
    ReplayOutcome arrive(
            double atMillis,
            long promptTokens,
            int events,
            long targetMillis,
            long gapMillis,
            List<String> parts) {
        long nowNanos = (long) (atMillis * MILLI);
        mLastKeyNumber++;
        PlacementRequest request =
                builder(mLastKeyNumber, parts)
                        .times(
                                nowNanos + targetMillis * MILLI,
                                nowNanos + Math.max(2_000, 4 * targetMillis) * MILLI,
                                nowNanos + 15_000 * MILLI)
                        .generation(promptTokens, 46L * events, gapMillis)
                        .build();
        ReplayOutcome outcome = new ReplayOutcome(request, nowNanos);
        mOutcomes.put(request.key(), outcome);
        schedule(
                nowNanos,
                () -> {
                    mScheduler.submit(request, nowNanos);
                    decide(nowNanos);
                });
        return outcome;
    }

    /**
     * Runs the simulation up to a time. The scheduler decides on waiting requests every 10 ms and
     * receives a heartbeat of each engine every second.
     */
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
        mNowNanos = untilNanos;
    }

    private void sendHeartbeats(long nowNanos) {
        mEngines.values().stream()
                .filter(engine -> !engine.mDown)
                .forEach(engine -> heartbeat(engine.mId, nowNanos));
    }

    private void decide(long nowNanos) {
        for (PlacementAction action : mScheduler.decide(nowNanos)) {
            ReplayOutcome outcome = Objects.requireNonNull(mOutcomes.get(action.key()));
            switch (action) {
                case PlacementAction.Reject reject -> {
                    outcome.mRejectedMillis = (double) (nowNanos - outcome.mArrivedNanos) / MILLI;
                    mQuarantined += reject.reason() == PlacementRefusal.QUARANTINED ? 1 : 0;
                }
                case PlacementAction.Grant grant -> start(outcome, grant, nowNanos);
            }
        }
    }

    private void start(ReplayOutcome outcome, PlacementAction.Grant grant, long nowNanos) {
        PlacementRequest request = outcome.mRequest;
        List<Engine> engines = new ArrayList<>();
        engines.add(engine(grant.grant().upstream()));
        grant.grant().helpers().forEach(helper -> engines.add(engine(helper.upstream())));
        outcome.mEngines = engines.size();
        double prefillMillis = COST.prefillMillis(request.promptTokens()) / engines.size();
        int events = (int) Math.max(1, request.outputTokens() / 46);
        PlacedRequest placed =
                new PlacedRequest(
                        grant.key(), engines.get(0), prefillMillis, engines.size(), events);
        if (engines.get(0).mDown) {
            schedule(
                    nowNanos + MILLI,
                    () -> endSend(placed, PlacementOutcome.NOT_CONNECTED, nowNanos + MILLI));
            return;
        }
        outcome.mSends++;
        mFaults.recordSend(request, (double) nowNanos / MILLI);
        engines.forEach(engine -> engine.add(placed, nowNanos));
    }

    private Engine engine(UpstreamId id) {
        return Objects.requireNonNull(mEngines.get(id));
    }

    private void schedule(long nanos, Runnable action) {
        mLastOrder++;
        mEvents.add(new ScheduledEvent(nanos, mLastOrder, action));
    }
}
