package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.quarantine.QuarantineDecision;
import dev.kumquatweir.policy.quarantine.UpstreamIncarnation;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.LoadReport;
import dev.kumquatweir.policy.routing.Fleet;
import dev.kumquatweir.policy.routing.Pool;
import dev.kumquatweir.policy.routing.UpstreamLoad;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Queue of the requests that have to run alone or must not run yet. They are kept out of the work
 * queues, where the first request of a team blocks the rest. An upstream is reserved for each
 * request that may run. The request starts once the upstream has reported that it is idle, after
 * the other instances have learned of the reservation. Not thread-safe: owned by the dispatch duty.
 */
final class SuspectQueue {
    /**
     * Exceeds the number of suspects that one crash can produce; further requests are refused as
     * overload.
     */
    private static final int MAXIMUM_REQUESTS = 1_000;

    /**
     * Time within which other instances learn of a reservation and their last work appears in load
     * reports.
     */
    private static final long RESERVATION_SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Maximum wait for a reserved upstream to become idle, and then for capacity on it. After most
     * crashes the majority of the suspects are not the cause, and short and long requests missed
     * their deadlines when they waited for a long request to end or on an engine for short prompts.
     * The reservation still excludes other suspects, so that a second crash leaves only one request
     * with two crashes.
     */
    private static final long MAXIMUM_ISOLATION_WAIT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Result of offering a request. */
    sealed interface Step {
        /** It remains in this queue. */
        record KeepWaiting() implements Step {}

        /** It returns to its work queue. */
        record Queues() implements Step {}

        /** Its attempt starts. */
        record Starts(DispatchAction action) implements Step {}

        /** It fails. */
        record Fails(RequestFailure failure) implements Step {}
    }

    private static final Step KEEP_WAITING = new Step.KeepWaiting();

    private final IsolationPolicy mIsolationPolicy;
    private final Fleet mFleet;
    private final Placer mPlacer;
    private final Set<TrackedRequest> mWaiting = new LinkedHashSet<>();

    SuspectQueue(IsolationPolicy guard, Fleet fleet, Placer placer) {
        mIsolationPolicy = guard;
        mFleet = fleet;
        mPlacer = placer;
    }

    /** Returns whether a request has to move from its work queue to this one. */
    boolean takes(TrackedRequest tracked, long nowNanos) {
        return !(decide(tracked, pool(tracked, nowNanos), nowNanos)
                instanceof QuarantineDecision.RunUnrestricted);
    }

    /** Adds a request that was removed from its work queue; returns false if this queue is full. */
    boolean add(TrackedRequest tracked, long nowNanos) {
        tracked.mIsolationWaitStartNanos = nowNanos;
        return mWaiting.size() < MAXIMUM_REQUESTS && mWaiting.add(tracked);
    }

    /** Removes a request and releases its reservation. */
    void remove(TrackedRequest tracked) {
        mWaiting.remove(tracked);
        release(tracked);
    }

    /** Returns the requests that are due to be offered. */
    List<TrackedRequest> due(long nowNanos) {
        if (mWaiting.isEmpty()) {
            return List.of();
        }
        List<TrackedRequest> due = new ArrayList<>();
        for (TrackedRequest tracked : mWaiting) {
            if (nowNanos >= tracked.mNotBeforeNanos) {
                due.add(tracked);
            }
        }
        return due;
    }

    /** Decides how to proceed with a waiting request. Removes it unless it has to keep waiting. */
    Step offer(TrackedRequest tracked, long nowNanos) {
        tracked.mNotBeforeNanos = nowNanos + RETRY_NANOS;
        Collection<Pool.Member> pool = pool(tracked, nowNanos);
        Step step =
                switch (decide(tracked, pool, nowNanos)) {
                    case QuarantineDecision.RunUnrestricted free -> new Step.Queues();
                    case QuarantineDecision.Refuse refused ->
                            new Step.Fails(refused.failure().withExecuted(tracked.ran()));
                    case QuarantineDecision.Wait wait -> KEEP_WAITING;
                    case QuarantineDecision.RunAlone alone ->
                            isolate(tracked, pool, alone.avoidedUpstreams(), nowNanos);
                };
        if (!(step instanceof Step.KeepWaiting)) {
            mWaiting.remove(tracked);
        }
        if (step instanceof Step.Queues || step instanceof Step.Fails) {
            release(tracked);
        }
        return step;
    }

    private Step isolate(
            TrackedRequest tracked,
            Collection<Pool.Member> pool,
            Set<UpstreamId> avoided,
            long nowNanos) {
        UpstreamLoad target = tracked.mReservedUpstream;
        if (target == null
                || avoided.contains(id(target))
                || !target.usable(nowNanos)
                || mFleet.find(id(target)) != target
                || !mFleet.allows(target)
                || !mIsolationPolicy.reserve(tracked.mRequest, place(target), nowNanos)) {
            release(tracked);
            reserve(tracked, pool, avoided, nowNanos);
            return KEEP_WAITING;
        }
        if (!idle(target, tracked.mReservedAtNanos)
                && nowNanos - tracked.mIsolationWaitStartNanos < MAXIMUM_ISOLATION_WAIT_NANOS) {
            return KEEP_WAITING;
        }
        Set<UpstreamId> others = new HashSet<>();
        pool.forEach(member -> others.add(id(member.load())));
        others.remove(id(target));
        DispatchAction start = mPlacer.place(tracked, others, nowNanos);
        if (start == null) {
            tracked.mIsolationWaived =
                    nowNanos - tracked.mIsolationWaitStartNanos >= MAXIMUM_ISOLATION_WAIT_NANOS;
            return tracked.mIsolationWaived ? new Step.Queues() : KEEP_WAITING;
        }
        tracked.mReservedUpstream = null;
        return new Step.Starts(start);
    }

    /**
     * Reserves the upstream with the fewest running requests among those that may take the request.
     */
    private void reserve(
            TrackedRequest tracked,
            Collection<Pool.Member> pool,
            Set<UpstreamId> avoided,
            long nowNanos) {
        Set<UpstreamId> closed = mIsolationPolicy.reservedUpstreams(nowNanos);
        Predicate<UpstreamLoad> open =
                load -> load.usable(nowNanos) && !closed.contains(id(load)) && holds(load, tracked);
        boolean others = pool.stream().anyMatch(member -> !avoided.contains(id(member.load())));
        pool.stream()
                .map(Pool.Member::load)
                .filter(open)
                .filter(load -> !others || !avoided.contains(id(load)))
                .min(
                        Comparator.comparing(UpstreamLoad::cold)
                                .thenComparingInt(UpstreamLoad::running))
                .filter(load -> mIsolationPolicy.reserve(tracked.mRequest, place(load), nowNanos))
                .ifPresent(
                        load -> {
                            tracked.mReservedUpstream = load;
                            tracked.mReservedAtNanos = nowNanos;
                        });
    }

    private void release(TrackedRequest tracked) {
        if (tracked.mReservedUpstream != null) {
            mIsolationPolicy.release(id(tracked.mReservedUpstream));
            tracked.mReservedUpstream = null;
        }
    }

    /**
     * Exempts two kinds of requests from isolation, since further waiting would make them miss
     * their deadlines: prompts that fit on no single upstream, and requests that found no capacity
     * within the maximum wait. They run without restriction until they are refused.
     */
    private QuarantineDecision decide(
            TrackedRequest tracked, Collection<Pool.Member> pool, long nowNanos) {
        QuarantineDecision decision =
                mIsolationPolicy.decide(tracked.mRequest, pool.size(), nowNanos);
        boolean mayWait =
                !tracked.mIsolationWaived
                        && pool.stream().anyMatch(member -> holds(member.load(), tracked));
        if (decision instanceof QuarantineDecision.Refuse || mayWait) {
            return decision;
        }
        return new QuarantineDecision.RunUnrestricted();
    }

    private static boolean holds(UpstreamLoad load, TrackedRequest tracked) {
        long memory = tracked.prefillTokens() + tracked.remainingTokens();
        return load.state().announcement().memoryTokens() >= memory;
    }

    private Collection<Pool.Member> pool(TrackedRequest tracked, long nowNanos) {
        WorkRequest request = tracked.mRequest;
        return mFleet.pool(request.profile().service(), request.model(), nowNanos).all();
    }

    private static boolean idle(UpstreamLoad load, long reservedNanos) {
        @Nullable LoadReport report = load.state().load();
        return load.reservations().isEmpty()
                && report != null
                && load.state().loadReceivedNanos() - reservedNanos >= RESERVATION_SETTLE_NANOS
                && report.running() + report.queued() == 0;
    }

    private static UpstreamIncarnation place(UpstreamLoad load) {
        return new UpstreamIncarnation(id(load), load.state().announcement().incarnation());
    }

    private static UpstreamId id(UpstreamLoad load) {
        Announcement announcement = load.state().announcement();
        return announcement.id();
    }
}
