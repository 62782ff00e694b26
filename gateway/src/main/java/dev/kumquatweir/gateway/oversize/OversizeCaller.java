package dev.kumquatweir.gateway.oversize;

import dev.kumquatweir.core.control.ConfigurationPort;
import dev.kumquatweir.core.control.LeasedConfiguration;
import dev.kumquatweir.core.duty.EventLoop;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.dispatch.AttemptListener;
import dev.kumquatweir.gateway.dispatch.AttemptOrder;
import dev.kumquatweir.gateway.dispatch.UpstreamCaller;
import dev.kumquatweir.policy.oversize.OversizePlan;
import dev.kumquatweir.policy.oversize.OversizeReservation;
import dev.kumquatweir.policy.registry.Announcement;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Sends attempts. One with partners is a prompt over several engines and becomes a run, which looks
 * like any other attempt from outside: it is refused, breaks off or ends as a whole, and closing or
 * cancelling it ends everything that it has on its engines. Thread-safe.
 */
public final class OversizeCaller implements UpstreamCaller {
    private static final EventLog LOG = EventLog.of(OversizeCaller.class);
    private static final int RING_CAPACITY = 4_096;
    private static final long TICK_MILLIS = 20;

    private final UpstreamCaller mCaller;
    private final KvCalls mKvCalls;
    private final ConfigurationPort mConfiguration;
    private final Clocks mClocks;
    private final Supplier<AttemptId> mPartIds;
    private final Function<OversizePlan, OversizeReservation> mReservations;
    private final EventLoop mDuty;
    private final Map<AttemptId, OversizeExecution> mRuns = new ConcurrentHashMap<>();
    private final Queue<Runnable> mOverflow = new ConcurrentLinkedQueue<>();
    private final List<Later> mLater = new ArrayList<>();
    private final AtomicInteger mOpen = new AtomicInteger();

    private record Later(long dueNanos, Runnable task) {}

    /**
     * Makes a caller that is not yet running.
     *
     * @param caller sends attempts on one engine
     * @param kvCalls moves KV caches
     * @param configuration lease and failure domains, checked before each part is sent
     * @param clocks clocks of the process
     * @param partIds makes the attempts of parts; called on one thread
     * @param reservations reserves the memory of a plan; called on one thread
     */
    public OversizeCaller(
            UpstreamCaller caller,
            KvCalls kvCalls,
            ConfigurationPort configuration,
            Clocks clocks,
            Supplier<AttemptId> partIds,
            Function<OversizePlan, OversizeReservation> reservations) {
        mCaller = caller;
        mKvCalls = kvCalls;
        mConfiguration = configuration;
        mClocks = clocks;
        mPartIds = partIds;
        mReservations = reservations;
        mDuty =
                new EventLoop(
                        "oversize",
                        RING_CAPACITY,
                        TICK_MILLIS,
                        this::tick,
                        (thread, fault) -> LOG.error("oversize_fault", fault));
    }

    /** Starts the thread. */
    public void start() {
        mDuty.start();
    }

    /** Ends the thread. */
    public void stop() {
        mDuty.stop();
    }

    /** Ends all runs and gives back what they hold. */
    public void abandonAll() {
        mRuns.values().forEach(OversizeExecution::abandon);
    }

    /**
     * Returns the number of runs and calls that still have to end, those that clean up included.
     */
    public int open() {
        return mOpen.get();
    }

    @Override
    public Runnable start(AttemptOrder order, AttemptListener listener) {
        if (order.partners().isEmpty()) {
            return mCaller.start(order, listener);
        }
        OversizeExecution run = new OversizeExecution(this, order, listener, mClocks.nowNanos());
        opened();
        mRuns.put(order.attempt(), run);
        post(() -> run.begin(engines(order), mPartIds, mReservations));
        return run::abandon;
    }

    @Override
    public void cancel(Announcement upstream, AttemptId attempt) {
        OversizeExecution run = mRuns.get(attempt);
        if (run == null) {
            mCaller.cancel(upstream, attempt);
        } else {
            run.abandon();
        }
    }

    @Override
    public void replaceConnections(Announcement upstream) {
        mCaller.replaceConnections(upstream);
    }

    UpstreamCaller engines() {
        return mCaller;
    }

    KvCalls kvCalls() {
        return mKvCalls;
    }

    long nowNanos() {
        return mClocks.nowNanos();
    }

    /** The last check before a part is sent to an engine. */
    boolean maySend(Announcement engine, long nowNanos) {
        LeasedConfiguration configuration = mConfiguration.current();
        return configuration.inForce(nowNanos)
                && configuration.document().mayReceiveWork(engine.id(), engine.domain());
    }

    /** Runs a task on the duty; it must not be lost, so it waits for the next tick if need be. */
    void post(Runnable task) {
        if (!mDuty.offer(task)) {
            mOverflow.add(task);
        }
    }

    /** Runs a task on the duty after a delay. Called on the duty. */
    void later(long delayNanos, Runnable task) {
        mLater.add(new Later(mClocks.nowNanos() + delayNanos, task));
    }

    /** Something has begun that has to end before the process may. */
    void opened() {
        mOpen.incrementAndGet();
    }

    /** It has ended. */
    void closed() {
        mOpen.decrementAndGet();
    }

    void ended(AttemptId attempt) {
        mRuns.remove(attempt);
        closed();
    }

    /**
     * The engine that answers comes last. The others come in the order of their names, as in all
     * runs, so that two runs over the same engines meet at the first one, where nothing is lost.
     */
    private static List<Announcement> engines(AttemptOrder order) {
        List<Announcement> engines = new ArrayList<>(order.partners());
        engines.sort(Comparator.comparing(Announcement::id));
        engines.add(order.upstream());
        return engines;
    }

    private void tick() {
        for (Runnable task = mOverflow.poll(); task != null; task = mOverflow.poll()) {
            task.run();
        }
        long nowNanos = mClocks.nowNanos();
        List<Later> due =
                mLater.stream().filter(later -> nowNanos - later.dueNanos() >= 0).toList();
        mLater.removeAll(due);
        due.forEach(later -> later.task().run());
        mRuns.values().forEach(OversizeExecution::tick);
    }
}
