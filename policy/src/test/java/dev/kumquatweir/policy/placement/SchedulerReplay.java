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
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final PlacementScheduler mScheduler =
            new PlacementScheduler(new PlacementLimits(0.2, 100, 10_000));
    private final PriorityQueue<ScheduledEvent> mEvents = new PriorityQueue<>();
    private final Map<UpstreamId, Engine> mEngines = new HashMap<>();
    private final Map<PlacementKey, Outcome> mOutcomes = new HashMap<>();
    private long mLastKeyNumber;
    private long mLastOrder;

    /** An action scheduled for a time. Actions with equal times keep their order. */
    private record ScheduledEvent(long nanos, long order, Runnable action)
            implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** The result of one request. Times are in milliseconds after its arrival, -1 for never. */
    static final class Outcome {
        private final PlacementRequest mRequest;
        private final long mArrivedNanos;
        private double mFirstEventMillis = -1;
        private double mRejectedMillis = -1;
        private double mLongestGapMillis;
        private int mEngines;
        private boolean mFinished;

        Outcome(PlacementRequest request, long arrivedNanos) {
            mRequest = request;
            mArrivedNanos = arrivedNanos;
        }

        boolean onTime() {
            long targetMillis = (mRequest.targetNanos() - mArrivedNanos) / MILLI;
            long targetGapMillis = mRequest.targetGapMillis();
            return mFinished
                    && mFirstEventMillis <= targetMillis
                    && (targetGapMillis == 0 || mLongestGapMillis <= targetGapMillis);
        }

        double rejectedMillis() {
            return mRejectedMillis;
        }

        double firstEventMillis() {
            return mFirstEventMillis;
        }

        int engines() {
            return mEngines;
        }

        long promptTokens() {
            return mRequest.promptTokens();
        }
    }

    /** A simulated engine, with the requests waiting for prefill and those that are decoding. */
    private final class Engine {
        private final double mSlowdown;
        private final List<PlacedRequest> mPrefillQueue = new ArrayList<>();
        private final List<PlacedRequest> mDecoding = new ArrayList<>();
        private boolean mBusy;

        Engine(double slowdown) {
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

        private void endPass(List<PlacedRequest> helperParts, long nowNanos) {
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
            Outcome outcome = Objects.requireNonNull(mOutcomes.get(mKey));
            double ageMillis = (double) (nowNanos - outcome.mArrivedNanos) / MILLI;
            mEventsLeft--;
            if (mLastEventMillis < 0) {
                outcome.mFirstEventMillis = ageMillis;
                mScheduler.recordFirstEvent(mKey, nowNanos);
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
        UpstreamId id = new UpstreamId("engine-" + number);
        mEngines.put(id, new Engine(pace));
        heartbeat(id, 0);
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
    Outcome arrive(
            double atMillis, long promptTokens, int events, long targetMillis, long gapMillis) {
        long nowNanos = (long) (atMillis * MILLI);
        mLastKeyNumber++;
        PlacementKey key = new PlacementKey(OWNER, mLastKeyNumber);
        PlacementRequest request =
                PlacementRequest.builder(key, "request-" + mLastKeyNumber, SERVICE)
                        .times(
                                nowNanos + targetMillis * MILLI,
                                nowNanos + Math.max(2_000, 4 * targetMillis) * MILLI,
                                nowNanos + 15_000 * MILLI)
                        .generation(promptTokens, 46L * events, gapMillis)
                        .build();
        Outcome outcome = new Outcome(request, nowNanos);
        mOutcomes.put(key, outcome);
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
                schedule(nowNanos, () -> mEngines.keySet().forEach(id -> heartbeat(id, nowNanos)));
            }
        }
        while (!mEvents.isEmpty() && mEvents.peek().nanos() <= untilNanos) {
            mEvents.remove().action().run();
        }
    }

    private void decide(long nowNanos) {
        for (PlacementAction action : mScheduler.decide(nowNanos)) {
            Outcome outcome = Objects.requireNonNull(mOutcomes.get(action.key()));
            switch (action) {
                case PlacementAction.Reject _ ->
                        outcome.mRejectedMillis =
                                (double) (nowNanos - outcome.mArrivedNanos) / MILLI;
                case PlacementAction.Grant grant -> start(outcome, grant, nowNanos);
            }
        }
    }

    private void start(Outcome outcome, PlacementAction.Grant grant, long nowNanos) {
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
