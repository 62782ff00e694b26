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
 * Plays a load on a scheduler in virtual time. Engines read and write as their published cost says:
 * in passes that read the prompts which have arrived and then emit one event for each request.
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
    private final PriorityQueue<Timed> mEvents = new PriorityQueue<>();
    private final Map<UpstreamId, Engine> mEngines = new HashMap<>();
    private final Map<PlacementKey, Outcome> mOutcomes = new HashMap<>();
    private long mNumber;
    private long mOrder;

    /** Something that happens at a time; equal times keep their order. */
    private record Timed(long nanos, long order, Runnable action) implements Comparable<Timed> {
        @Override
        public int compareTo(Timed other) {
            int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** What became of one request. Times are milliseconds after its arrival, -1 for never. */
    static final class Outcome {
        private final PlacementRequest mRequest;
        private final long mArrivedNanos;
        private double mFirst = -1;
        private double mRejected = -1;
        private double mLongestGap;
        private int mEngines;
        private boolean mFinished;

        Outcome(PlacementRequest request, long arrivedNanos) {
            mRequest = request;
            mArrivedNanos = arrivedNanos;
        }

        boolean onTime() {
            long target = (mRequest.targetNanos() - mArrivedNanos) / MILLI;
            long gap = mRequest.targetGapMillis();
            return mFinished && mFirst <= target && (gap == 0 || mLongestGap <= gap);
        }

        double rejectedMillis() {
            return mRejected;
        }

        double firstMillis() {
            return mFirst;
        }

        int engines() {
            return mEngines;
        }

        long promptTokens() {
            return mRequest.promptTokens();
        }
    }

    /** One engine: requests whose prompts wait, and those that emit events. */
    private final class Engine {
        private final double mPace;
        private final List<Work> mUnread = new ArrayList<>();
        private final List<Work> mWriting = new ArrayList<>();
        private boolean mBusy;

        Engine(double pace) {
            mPace = pace;
        }

        void take(Work work, long nowNanos) {
            mUnread.add(work);
            if (!mBusy) {
                pass(nowNanos);
            }
        }

        private void pass(long nowNanos) {
            if (mUnread.isEmpty() && mWriting.isEmpty()) {
                mBusy = false;
                return;
            }
            mBusy = true;
            double read = mUnread.stream().mapToDouble(work -> work.mReadMillis).sum();
            List<Work> parts = List.copyOf(mUnread);
            mUnread.clear();
            List<Work> begun =
                    parts.stream()
                            .filter(work -> work.mAnswers == this && work.mPartsLeft == 1)
                            .toList();
            begun.forEach(work -> work.mPartsLeft = 0);
            mWriting.addAll(begun);
            double pass = mWriting.isEmpty() ? 0 : COST.decodePassMillis(mWriting.size(), 0);
            long end = nowNanos + (long) ((read + pass) * mPace * MILLI);
            List<Work> helped = parts.stream().filter(work -> !begun.contains(work)).toList();
            at(end, () -> emit(helped, end));
        }

        /** Begins a request whose last part was read by another engine, or in an earlier pass. */
        private void begin(Work work, long nowNanos) {
            mWriting.add(work);
            if (!mBusy) {
                pass(nowNanos);
            }
        }

        private void emit(List<Work> helped, long nowNanos) {
            for (Work work : helped) {
                work.mPartsLeft--;
                if (work.mPartsLeft == 0) {
                    work.mAnswers.begin(work, nowNanos);
                }
            }
            for (Work work : List.copyOf(mWriting)) {
                work.event(nowNanos);
                if (work.mEventsLeft == 0) {
                    mWriting.remove(work);
                    mScheduler.ended(work.mKey, PlacementOutcome.ANSWERED, "", nowNanos);
                    decide(nowNanos);
                }
            }
            pass(nowNanos);
        }
    }

    /** A placed request. */
    private final class Work {
        private final PlacementKey mKey;
        private final Engine mAnswers;
        private final double mReadMillis;
        private int mPartsLeft;
        private int mEventsLeft;
        private double mLast = -1;

        Work(PlacementKey key, Engine answers, double readMillis, int parts, int events) {
            mKey = key;
            mAnswers = answers;
            mReadMillis = readMillis;
            mPartsLeft = parts;
            mEventsLeft = events;
        }

        void event(long nowNanos) {
            Outcome outcome = Objects.requireNonNull(mOutcomes.get(mKey));
            double age = (double) (nowNanos - outcome.mArrivedNanos) / MILLI;
            mEventsLeft--;
            if (mLast < 0) {
                outcome.mFirst = age;
                mScheduler.recordFirstEvent(mKey, nowNanos);
            } else {
                outcome.mLongestGap = Math.max(outcome.mLongestGap, age - mLast);
            }
            mLast = age;
            outcome.mFinished = mEventsLeft == 0;
        }
    }

    /** Makes a fleet whose scheduler knows all engines. */
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
            engine(number, 1);
        }
    }

    /** Sets how many times longer an engine works than its service publishes. */
    void engine(int number, double pace) {
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

    /** Returns for how many requests the scheduler has compared engines. */
    long comparisons() {
        return mScheduler.comparisonCount();
    }

    /** Returns how many engines read or write now. */
    int enginesAtWork() {
        return (int) mEngines.values().stream().filter(engine -> engine.mBusy).count();
    }

    /** Adds a request of 46 output tokens an event that arrives at a time. */
    Outcome arrive(
            double atMillis, long promptTokens, int events, long targetMillis, long gapMillis) {
        long nowNanos = (long) (atMillis * MILLI);
        mNumber++;
        PlacementKey key = new PlacementKey(OWNER, mNumber);
        PlacementRequest request =
                PlacementRequest.builder(key, "request-" + mNumber, SERVICE)
                        .times(
                                nowNanos + targetMillis * MILLI,
                                nowNanos + Math.max(2_000, 4 * targetMillis) * MILLI,
                                nowNanos + 15_000 * MILLI)
                        .generation(promptTokens, 46L * events, gapMillis)
                        .build();
        Outcome outcome = new Outcome(request, nowNanos);
        mOutcomes.put(key, outcome);
        at(
                nowNanos,
                () -> {
                    mScheduler.submit(request, nowNanos);
                    decide(nowNanos);
                });
        return outcome;
    }

    /**
     * Plays all arrivals; the scheduler looks at waiting requests every 10 ms and hears each engine
     * every second.
     */
    void play(double untilMillis) {
        long until = (long) (untilMillis * MILLI);
        for (long tick = 0; tick < until; tick += 10 * MILLI) {
            long nowNanos = tick;
            at(nowNanos, () -> decide(nowNanos));
            if (tick % (1_000 * MILLI) == 0) {
                at(nowNanos, () -> mEngines.keySet().forEach(id -> heartbeat(id, nowNanos)));
            }
        }
        while (!mEvents.isEmpty() && mEvents.peek().nanos() <= until) {
            mEvents.remove().action().run();
        }
    }

    private void decide(long nowNanos) {
        for (PlacementAction action : mScheduler.decide(nowNanos)) {
            Outcome outcome = Objects.requireNonNull(mOutcomes.get(action.key()));
            switch (action) {
                case PlacementAction.Reject _ ->
                        outcome.mRejected = (double) (nowNanos - outcome.mArrivedNanos) / MILLI;
                case PlacementAction.Grant grant -> begin(outcome, grant, nowNanos);
            }
        }
    }

    private void begin(Outcome outcome, PlacementAction.Grant grant, long nowNanos) {
        PlacementRequest request = outcome.mRequest;
        List<Engine> engines = new ArrayList<>();
        engines.add(engine(grant.grant().upstream()));
        grant.grant().helpers().forEach(helper -> engines.add(engine(helper.upstream())));
        outcome.mEngines = engines.size();
        double read = COST.prefillMillis(request.promptTokens()) / engines.size();
        int events = (int) Math.max(1, request.outputTokens() / 46);
        Work work = new Work(grant.key(), engines.get(0), read, engines.size(), events);
        engines.forEach(engine -> engine.take(work, nowNanos));
    }

    private Engine engine(UpstreamId id) {
        return Objects.requireNonNull(mEngines.get(id));
    }

    private void at(long nanos, Runnable action) {
        mOrder++;
        mEvents.add(new Timed(nanos, mOrder, action));
    }
}
