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
 * Requests that have to run alone, or must not run yet. They wait beside the queues, where the
 * first work of a team keeps back the rest. An upstream is reserved for each that may run; it
 * starts once the upstream has reported, after the other instances heard of the reservation, that
 * it runs nothing. Not thread-safe: owned by the dispatch duty.
 */
final class SuspectQueue {
    /** More than one crash can leave behind; further ones are refused as overload. */
    private static final int MOST_REQUESTS = 1_000;

    /** Time in which other instances hear of a reservation and their last work shows in reports. */
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Longest wait for a reserved upstream to become empty, and then for room on it. After an
     * ordinary death most suspects are innocent, and waiting for a long document to end, or on an
     * engine of the lane for short prompts, has cost questions and dossiers their deadlines. The
     * reservation still keeps other suspects away, so that a second death leaves one request with
     * two.
     */
    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** What follows for a request that was offered. */
    sealed interface Step {
        /** It waits here. */
        record Waits() implements Step {}

        /** It goes back to its queue. */
        record Queues() implements Step {}

        /** It has an attempt. */
        record Starts(DispatchAction action) implements Step {}

        /** It fails. */
        record Fails(RequestFailure failure) implements Step {}
    }

    private static final Step WAITS = new Step.Waits();

    private final RunGuard mGuard;
    private final Fleet mFleet;
    private final Placer mPlacer;
    private final Set<TrackedRequest> mWaiting = new LinkedHashSet<>();

    SuspectQueue(RunGuard guard, Fleet fleet, Placer placer) {
        mGuard = guard;
        mFleet = fleet;
        mPlacer = placer;
    }

    /** Returns whether a queued request has to wait here instead. */
    boolean takes(TrackedRequest tracked, long nowNanos) {
        return !(decide(tracked, pool(tracked, nowNanos), nowNanos)
                instanceof QuarantineDecision.RunUnrestricted);
    }

    /** Adds a request that was taken out of its queue; returns false if there is no room. */
    boolean add(TrackedRequest tracked, long nowNanos) {
        tracked.mSuspectNanos = nowNanos;
        return mWaiting.size() < MOST_REQUESTS && mWaiting.add(tracked);
    }

    /** Removes a request and gives back what is reserved for it. */
    void remove(TrackedRequest tracked) {
        mWaiting.remove(tracked);
        release(tracked);
    }

    /** Returns the requests that are to be offered now. */
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

    /** Decides what a waiting request does now. Unless it waits on, it is no longer here. */
    Step offer(TrackedRequest tracked, long nowNanos) {
        tracked.mNotBeforeNanos = nowNanos + RETRY_NANOS;
        Collection<Pool.Member> pool = pool(tracked, nowNanos);
        Step step =
                switch (decide(tracked, pool, nowNanos)) {
                    case QuarantineDecision.RunUnrestricted free -> new Step.Queues();
                    case QuarantineDecision.Refuse refused ->
                            new Step.Fails(refused.failure().withExecuted(tracked.ran()));
                    case QuarantineDecision.Wait wait -> WAITS;
                    case QuarantineDecision.RunAlone alone ->
                            isolate(tracked, pool, alone.avoidedUpstreams(), nowNanos);
                };
        if (!(step instanceof Step.Waits)) {
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
        UpstreamLoad target = tracked.mReserved;
        if (target == null
                || avoided.contains(id(target))
                || !target.usable(nowNanos)
                || mFleet.find(id(target)) != target
                || !mFleet.allows(target)
                || !mGuard.reserve(tracked.mRequest, place(target), nowNanos)) {
            release(tracked);
            reserve(tracked, pool, avoided, nowNanos);
            return WAITS;
        }
        if (!idle(target, tracked.mReservedNanos)
                && nowNanos - tracked.mSuspectNanos < PATIENCE_NANOS) {
            return WAITS;
        }
        Set<UpstreamId> others = new HashSet<>();
        pool.forEach(member -> others.add(id(member.load())));
        others.remove(id(target));
        DispatchAction start = mPlacer.place(tracked, others, nowNanos);
        if (start == null) {
            tracked.mRunsBesideOthers = nowNanos - tracked.mSuspectNanos >= PATIENCE_NANOS;
            return tracked.mRunsBesideOthers ? new Step.Queues() : WAITS;
        }
        tracked.mReserved = null;
        return new Step.Starts(start);
    }

    /** Reserves the upstream with the least work among those that may take the request. */
    private void reserve(
            TrackedRequest tracked,
            Collection<Pool.Member> pool,
            Set<UpstreamId> avoided,
            long nowNanos) {
        Set<UpstreamId> closed = mGuard.closedUpstreams(nowNanos);
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
                .filter(load -> mGuard.reserve(tracked.mRequest, place(load), nowNanos))
                .ifPresent(
                        load -> {
                            tracked.mReserved = load;
                            tracked.mReservedNanos = nowNanos;
                        });
    }

    private void release(TrackedRequest tracked) {
        if (tracked.mReserved != null) {
            mGuard.release(id(tracked.mReserved));
            tracked.mReserved = null;
        }
    }

    /**
     * A prompt that no upstream can hold by itself can't run alone, and one that found no room in
     * time has waited enough; waiting on would only lose them at their deadlines. They run as
     * before until they are refused.
     */
    private QuarantineDecision decide(
            TrackedRequest tracked, Collection<Pool.Member> pool, long nowNanos) {
        QuarantineDecision decision = mGuard.decide(tracked.mRequest, pool.size(), nowNanos);
        boolean mayWait =
                !tracked.mRunsBesideOthers
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
                && load.state().loadReceivedNanos() - reservedNanos >= SETTLE_NANOS
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
