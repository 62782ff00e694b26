package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementLimits;
import dev.kumquatweir.policy.placement.PlacementRefusal;
import dev.kumquatweir.policy.placement.PlacementRequest;
import dev.kumquatweir.policy.placement.PlacementScheduler;
import dev.kumquatweir.policy.placement.QuarantinedPart;
import dev.kumquatweir.policy.placement.RecordedCrash;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Control and entry instances in virtual time that exchange verdicts through encoded watch
 * messages. The clocks of no two instances agree.
 */
final class QuarantineSimulation {
    private static final long MILLISECOND_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long TICK_NANOS = 50 * MILLISECOND_NANOS;
    private static final long WAIT_MILLIS = 1_000;
    private static final long REQUEST_TIMEOUT_NANOS = 1_500 * MILLISECOND_NANOS;
    private static final int MAXIMUM_LATENCY_MILLIS = 20;
    private static final long MAXIMUM_WALL_OFFSET_MILLIS = TimeUnit.HOURS.toMillis(1);

    private final Random mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::number));
    private final List<Instance> mControls = new ArrayList<>();
    private final List<Instance> mEntries = new ArrayList<>();
    private final Set<Instance> mCutOff = new HashSet<>();
    private long mTimeNanos;
    private long mEventCount;
    private long mSentVerdicts;
    private int mLongestMessage;

    private record Event(long timeNanos, long number, Runnable action) {}

    QuarantineSimulation(int controls, int entries, long seed) {
        mRandom = new Random(seed);
        for (int number = 0; number < controls; number++) {
            mControls.add(new Instance(new InstanceId("control-" + number), true));
        }
        for (int number = 0; number < entries; number++) {
            addEntry();
        }
        mControls.forEach(Instance::tick);
    }

    /** Adds an entry instance that has just started. */
    Instance addEntry() {
        Instance entry = new Instance(new InstanceId("entry-" + mEntries.size()), false);
        mEntries.add(entry);
        entry.tick();
        return entry;
    }

    Instance control(int number) {
        return mControls.get(number);
    }

    Instance entry(int number) {
        return mEntries.get(number);
    }

    List<Instance> controls() {
        return mControls;
    }

    List<Instance> all() {
        List<Instance> all = new ArrayList<>(mControls);
        all.addAll(mEntries);
        return all;
    }

    /** Loses all messages from and to an instance until it is joined again. */
    void cutOff(Instance instance) {
        mCutOff.add(instance);
    }

    void join(Instance instance) {
        mCutOff.remove(instance);
    }

    void run(long millis) {
        long endNanos = mTimeNanos + millis * MILLISECOND_NANOS;
        for (Event event = mEvents.peek();
                event != null && event.timeNanos() <= endNanos;
                event = mEvents.peek()) {
            mEvents.remove();
            mTimeNanos = event.timeNanos();
            event.action().run();
        }
        mTimeNanos = endNanos;
    }

    /** Lets time pass on all clocks in which nothing happens. */
    void skip(long millis) {
        all().forEach(instance -> instance.mClockOffsetNanos += millis * MILLISECOND_NANOS);
    }

    /** Returns the number of verdicts in all messages since the last call. */
    long takeSentVerdicts() {
        long sent = mSentVerdicts;
        mSentVerdicts = 0;
        return sent;
    }

    /** Returns the size of the longest message since the last call. */
    int takeLongestMessage() {
        int longest = mLongestMessage;
        mLongestMessage = 0;
        return longest;
    }

    private void schedule(long delayNanos, Runnable action) {
        mEventCount++;
        mEvents.add(new Event(mTimeNanos + delayNanos, mEventCount, action));
    }

    private void deliver(Instance from, Instance to, Bytes message, Runnable action) {
        mLongestMessage = Math.max(mLongestMessage, message.size());
        long latencyMillis = 1L + mRandom.nextInt(MAXIMUM_LATENCY_MILLIS);
        int life = to.mLife;
        schedule(
                latencyMillis * MILLISECOND_NANOS,
                () -> {
                    boolean reachable = !mCutOff.contains(from) && !mCutOff.contains(to);
                    if (reachable && to.mLife == life && to.mIsRunning) {
                        action.run();
                    }
                });
    }

    /** Instance with the same steps as the fleet's services. */
    final class Instance {
        private final InstanceId mId;
        private final boolean mIsControl;
        private final Map<Instance, WatchProgress> mProgress = new HashMap<>();
        private final Map<Instance, Long> mPendingRequests = new HashMap<>();
        private QuarantineDirectory mDirectory = new QuarantineDirectory();
        private WatchServer mServer;
        private long mClockOffsetNanos = mRandom.nextLong() / 4;
        private long mWallOffsetMillis = mRandom.nextLong(2 * MAXIMUM_WALL_OFFSET_MILLIS);
        private int mLife = 1;
        private long mRequestCount;
        private long mSubmitted;
        private boolean mIsRunning = true;
        private @Nullable PlacementScheduler mScheduler;

        private Instance(InstanceId id, boolean isControl) {
            mId = id;
            mIsControl = isControl;
            mServer = new WatchServer(new UpstreamDirectory(), mDirectory, mLife);
        }

        boolean isQuarantined(String part) {
            return mDirectory.isQuarantined(part, nowNanos());
        }

        /** Returns what the scheduler of this instance has in quarantine. */
        List<String> scheduledQuarantine() {
            PlacementScheduler scheduler = mScheduler;
            return scheduler == null
                    ? List.of()
                    : scheduler.quarantinedParts(nowNanos()).stream()
                            .map(QuarantinedPart::part)
                            .sorted()
                            .toList();
        }

        /** Starts to schedule, as the leader or as an entry instance without one. */
        void startScheduling() {
            PlacementScheduler scheduler =
                    new PlacementScheduler(new PlacementLimits(0.2, 10, 1_000));
            scheduler.addQuarantinedParts(mDirectory.quarantinedParts(nowNanos()), nowNanos());
            scheduler.crashes().add(mDirectory.crashes(nowNanos()), nowNanos());
            mScheduler = scheduler;
        }

        void stopScheduling() {
            mScheduler = null;
        }

        /** Lets the scheduler of this instance conclude that upstreams crash on a part. */
        void quarantine(String part) {
            if (mScheduler != null) {
                mScheduler.addQuarantinedParts(List.of(new QuarantinedPart(part, 0)), nowNanos());
            }
        }

        /** Lets the scheduler of this instance record that a content crashed an upstream. */
        void recordCrash(String contentHash, String upstream) {
            if (mScheduler != null) {
                RecordedCrash crash = new RecordedCrash(contentHash, new UpstreamId(upstream), 0);
                mScheduler.crashes().add(List.of(crash), nowNanos());
            }
        }

        /** Lets the scheduler of this instance hear of an answer to a content. */
        void recordAnswer(String contentHash) {
            if (mScheduler != null) {
                mScheduler.crashes().remove(List.of(contentHash));
            }
        }

        /** Returns whether the scheduler of this instance refuses a content at once. */
        boolean refuses(String contentHash) {
            PlacementKey key = new PlacementKey(mId, mSubmitted++);
            PlacementRequest request =
                    PlacementRequest.builder(key, "request", new ServiceName("service"))
                            .contentHash(contentHash)
                            .times(nowNanos(), nowNanos(), nowNanos())
                            .build();
            PlacementScheduler scheduler = Objects.requireNonNull(mScheduler);
            scheduler.submit(request, nowNanos());
            return scheduler.decide(nowNanos()).stream()
                    .anyMatch(
                            action ->
                                    action instanceof PlacementAction.Reject reject
                                            && reject.reason() == PlacementRefusal.QUARANTINED);
        }

        /** Lets the scheduler of this instance conclude that a part is sound. */
        void release(String part) {
            if (mScheduler != null) {
                mScheduler.removeQuarantinedParts(List.of(part), nowNanos());
            }
        }

        void stop() {
            mIsRunning = false;
            mScheduler = null;
        }

        /** Starts the process again, without anything that it knew. */
        void restart() {
            stop();
            mLife++;
            mIsRunning = true;
            mDirectory = new QuarantineDirectory();
            mServer = new WatchServer(new UpstreamDirectory(), mDirectory, mLife);
            mProgress.clear();
            mPendingRequests.clear();
            tick();
        }

        private long nowNanos() {
            return mTimeNanos + mClockOffsetNanos;
        }

        private long wallMillis() {
            return TimeUnit.NANOSECONDS.toMillis(mTimeNanos) + mWallOffsetMillis;
        }

        private void tick() {
            PlacementScheduler scheduler = mScheduler;
            if (scheduler != null) {
                report(
                        scheduler.quarantinedParts(nowNanos()),
                        scheduler.crashes().repeated(nowNanos()));
            }
            mServer.tick(nowNanos());
            mDirectory.expire(nowNanos());
            mControls.stream()
                    .filter(control -> control != this && !mPendingRequests.containsKey(control))
                    .forEach(this::sendRequest);
            int life = mLife;
            schedule(
                    TICK_NANOS,
                    () -> {
                        if (mIsRunning && mLife == life) {
                            tick();
                        }
                    });
        }

        private void report(List<QuarantinedPart> parts, List<RecordedCrash> crashes) {
            if (!mIsControl) {
                mDirectory.add(parts, crashes, nowNanos(), wallMillis());
            } else if (mDirectory.update(parts, crashes, nowNanos(), wallMillis())) {
                mServer.notifyWatchers(nowNanos());
            }
        }

        private void sendRequest(Instance control) {
            mRequestCount++;
            long number = mRequestCount;
            int life = mLife;
            mPendingRequests.put(control, number);
            WatchRequest request =
                    progress(control)
                            .nextRequest(
                                    0,
                                    mDirectory.changedSince(0, nowNanos()),
                                    !mIsControl,
                                    false,
                                    WAIT_MILLIS);
            mSentVerdicts += request.verdicts().size();
            Bytes content = request.encode();
            deliver(
                    this,
                    control,
                    content,
                    () -> control.receive(this, life, number, WatchRequest.decode(content).get()));
            schedule(
                    REQUEST_TIMEOUT_NANOS,
                    () -> {
                        if (mLife == life && mPendingRequests.remove(control, number)) {
                            progress(control).recordFailure();
                        }
                    });
        }

        private void receive(Instance watcher, int life, long number, WatchRequest request) {
            learn(watcher, request.verdicts());
            mServer.watch(
                    watcher.mId,
                    request,
                    false,
                    content -> {
                        mSentVerdicts += WatchResponse.decode(content).get().verdicts().size();
                        deliver(
                                this,
                                watcher,
                                content,
                                () -> watcher.handleResponse(this, life, number, request, content));
                        return Option.none();
                    },
                    nowNanos());
        }

        private void handleResponse(
                Instance control, int life, long number, WatchRequest request, Bytes content) {
            if (mLife != life || !mPendingRequests.remove(control, number)) {
                return;
            }
            WatchResponse response = WatchResponse.decode(content).get();
            progress(control).recordResponse(request, response);
            learn(control, response.verdicts());
            sendRequest(control);
        }

        private void learn(Instance peer, List<QuarantineVerdict> verdicts) {
            List<QuarantineVerdict> learned = mDirectory.merge(peer.mId, verdicts, nowNanos());
            PlacementScheduler scheduler = mScheduler;
            if (scheduler != null && !learned.isEmpty()) {
                mDirectory.apply(learned, scheduler, nowNanos());
                mServer.notifyWatchers(nowNanos());
            }
        }

        private WatchProgress progress(Instance control) {
            return mProgress.computeIfAbsent(control, key -> new WatchProgress());
        }
    }
}
