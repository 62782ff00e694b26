package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamNotice;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Gives requests to upstreams. Work waits here, where it can be reordered, withdrawn and rejected,
 * and not in the queues of the upstreams. Not thread-safe; each method takes the present time.
 *
 * <p>One scheduler, on the leader, sees the whole load, so that limits which all instances share
 * are kept by counting. An instance that can't reach it runs one of its own with {@link #alone}.
 */
public final class PlacementScheduler {
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /** A call of a plain service that is not under way so long before its deadline is useless. */
    private static final long CALL_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    /** Late requests that may wait, as a share of all places of their service. */
    private static final double LATE_SHARE = 0.1;

    private final PlacementLimits mLimits;
    private final Map<ServiceName, RoutedService> mServices = new HashMap<>();
    private final PlacementUpstreams mUpstreams = new PlacementUpstreams();
    private final Map<PlacementKey, PlacementRequest> mWaiting = new LinkedHashMap<>();
    private final Set<PlacementKey> mReturned = new HashSet<>();
    private final Map<PlacementKey, List<PlacementUpstream>> mPlaced = new HashMap<>();
    private final Map<ServiceName, RepeatAllowance> mRepeats = new HashMap<>();
    private final CrashHistory mCrashes = new CrashHistory();
    private final List<PlacementAction> mActions = new ArrayList<>();
    private @Nullable RoutingTable mRouting;
    private int mInstances = 1;

    /** Makes a scheduler that knows no upstream. */
    public PlacementScheduler(PlacementLimits limits) {
        mLimits = limits;
    }

    // Configuration.

    /** Sets the routing table and the failure domains whose upstreams get no new work. */
    public void routing(RoutingTable routing, Set<FailureDomain> domainsOut) {
        mRouting = routing;
        mServices.clear();
        mUpstreams.domainsOut(domainsOut);
    }

    /**
     * Sets how many instances place requests without knowing of each other: this one uses a share
     * of each common limit, and leaves cold upstreams alone.
     */
    public void alone(int instances) {
        mInstances = Math.max(1, instances);
        mUpstreams.alone(mInstances);
    }

    // What is heard of upstreams.

    /** Takes what an upstream said. */
    public void heard(UpstreamNotice notice, long heardNanos) {
        mUpstreams.heard(notice, heardNanos);
    }

    /** Forgets upstreams that were silent for long and have no work. */
    public void forgetSilent(long nowNanos) {
        mUpstreams.forgetSilent(nowNanos);
    }

    // What is heard of requests.

    /** Takes a request in; {@link #decide} answers it, at once or later. */
    public void ask(PlacementRequest request, long nowNanos) {
        RepeatAllowance repeats =
                mRepeats.computeIfAbsent(request.service(), none -> new RepeatAllowance(mLimits));
        if (!request.repeat()) {
            repeats.first(nowNanos);
        } else if (!repeats.take(mInstances, nowNanos)) {
            reject(request, PlacementRefusal.REPEAT_BUDGET, nowNanos);
            return;
        }
        if (mCrashes.quarantined(request.contentHash(), nowNanos)) {
            reject(request, PlacementRefusal.QUARANTINED, nowNanos);
            return;
        }
        if (tooLateForTarget(request, nowNanos)) {
            mReturned.add(request.key());
        }
        mWaiting.put(request.key(), request);
    }

    /** Takes a request in that an upstream works on already, placed by another scheduler. */
    public void hold(
            PlacementRequest request, UpstreamId upstream, boolean started, long nowNanos) {
        PlacementUpstream known = mUpstreams.find(upstream);
        if (known == null || mPlaced.containsKey(request.key())) {
            return;
        }
        double read =
                engine(request.service())
                        .map(cost -> started ? 0 : cost.readMillis(request.promptTokens()) / 2)
                        .orElse(0.0);
        PlacedWork work =
                new PlacedWork(request, true, read, request.memoryTokens(), nowNanos, nowNanos);
        work.markLate();
        if (started) {
            work.start();
        }
        known.add(work, nowNanos);
        mPlaced.put(request.key(), List.of(known));
    }

    /** Takes a waiting request back. */
    public void withdraw(PlacementKey key) {
        mWaiting.remove(key);
        mReturned.remove(key);
    }

    /** Takes note of the first event of an answer. */
    public void started(PlacementKey key, long nowNanos) {
        List<PlacementUpstream> upstreams = mPlaced.getOrDefault(key, List.of());
        if (!upstreams.isEmpty()) {
            PlacementUpstream primary = upstreams.get(0);
            primary.answered(nowNanos);
            if (upstreams.size() == 1) {
                primary.find(key).ifPresent(work -> learnPace(primary, work, nowNanos));
            }
        }
        upstreams.forEach(upstream -> upstream.started(key, nowNanos));
    }

    /** Takes note that events of an answer came later than its target allows. */
    public void delayed(PlacementKey key, long gapMillis, long nowNanos) {
        for (PlacementUpstream upstream : mPlaced.getOrDefault(key, List.of())) {
            upstream.find(key).ifPresent(PlacedWork::markLate);
            Optional<EngineCost> cost = engine(upstream.notice().service());
            if (cost.isPresent() && upstream.unreadMillis(nowNanos) <= 0) {
                double pass = cost.get().passMillis(upstream.writing(), upstream.contextTokens());
                upstream.trust().timed(gapMillis / Math.max(1, pass), nowNanos);
            }
            return;
        }
    }

    /**
     * Takes note of the end of a placement.
     *
     * @param key the placement
     * @param outcome how it ended
     * @param culprit address of the upstream at fault if the one that answered named another, else
     *     empty
     */
    public void ended(PlacementKey key, PlacementOutcome outcome, String culprit, long nowNanos) {
        List<PlacementUpstream> upstreams = mPlaced.remove(key);
        if (upstreams == null) {
            return;
        }
        PlacementUpstream primary = upstreams.get(0);
        PlacementUpstream blamed =
                upstreams.stream()
                        .filter(each -> each.notice().address().equals(culprit))
                        .findFirst()
                        .orElse(primary);
        Optional<PlacedWork> work = primary.find(key);
        String content = work.map(each -> each.request().contentHash()).orElse("");
        switch (outcome) {
            case ANSWERED -> {
                primary.answered(nowNanos);
                primary.trust().answered(false, nowNanos);
                mCrashes.answered(content);
            }
            case UPSTREAM_ERROR -> {
                primary.answered(nowNanos);
                primary.trust().answered(true, nowNanos);
            }
            case NOT_CONNECTED -> blamed.trust().failed(nowNanos);
            case FULL -> blamed.trust().full(nowNanos);
            case MISDIRECTED -> blamed.misdirected();
            case BROKEN, SILENT -> {
                blamed.trust().failed(nowNanos);
                mCrashes.broke(content, blamed.notice().id(), nowNanos);
            }
            case CANCELLED -> {}
        }
        upstreams.forEach(upstream -> upstream.ended(key, nowNanos));
    }

    /** Drops all requests of an instance that has gone. */
    public void ownerGone(InstanceId owner, long nowNanos) {
        mWaiting.keySet().removeIf(key -> key.owner().equals(owner));
        mReturned.removeIf(key -> key.owner().equals(owner));
        List<PlacementKey> lost =
                mPlaced.keySet().stream().filter(key -> key.owner().equals(owner)).toList();
        lost.forEach(key -> ended(key, PlacementOutcome.CANCELLED, "", nowNanos));
    }

    // Decisions.

    /** Decides on waiting requests; due after each input and while requests wait. */
    public List<PlacementAction> decide(long nowNanos) {
        if (!mWaiting.isEmpty()) {
            List<PlacementRequest> ordered =
                    mWaiting.values().stream().sorted(order(nowNanos)).toList();
            ordered.forEach(request -> decide(request, nowNanos));
        }
        List<PlacementAction> actions = List.copyOf(mActions);
        mActions.clear();
        return actions;
    }

    /** Returns how many requests wait. */
    public int waiting() {
        return mWaiting.size();
    }

    private long waiting(ServiceName service) {
        return mWaiting.values().stream()
                .filter(request -> request.service().equals(service))
                .count();
    }

    /** Returns how many requests are placed. */
    public int placed() {
        return mPlaced.size();
    }

    // Helpers.

    /**
     * Those that can still be on time first, then those that came back or go on elsewhere; among
     * equals by rank, then by value for each millisecond of an engine, so that a burst of long
     * prompts does not hold up the short ones.
     */
    private Comparator<PlacementRequest> order(long nowNanos) {
        return Comparator.comparing(
                        (PlacementRequest request) -> tooLateForTarget(request, nowNanos))
                .thenComparing(request -> !mReturned.contains(request.key()))
                .thenComparing(PlacementRequest::priority)
                .thenComparing(request -> -density(request));
    }

    /**
     * Returns whether even an engine with a free place would begin the answer after its target. A
     * request counts as late from then on, or it would take places from others that can be on time.
     */
    private boolean tooLateForTarget(PlacementRequest request, long nowNanos) {
        double needed =
                engine(request.service())
                        .map(cost -> EngineChooser.usualMillis(request, cost))
                        .orElse(0.0);
        return request.targetNanos() - nowNanos < needed * NANOS_PER_MILLI;
    }

    private double density(PlacementRequest request) {
        return engine(request.service())
                .map(
                        cost ->
                                request.value()
                                        / (cost.readMillis(request.promptTokens())
                                                + cost.passMillis(1, 0)))
                .orElse(1.0);
    }

    private void decide(PlacementRequest request, long nowNanos) {
        Optional<RoutedService> service = service(request.service());
        List<PlacementUpstream> open =
                service.map(known -> mUpstreams.open(request, known, nowNanos)).orElse(List.of());
        Optional<EngineCost> cost = service.flatMap(RoutedService::engine);
        if (cost.isPresent()) {
            decideEngine(request, cost.get(), open, nowNanos);
        } else {
            decideCall(request, open, nowNanos);
        }
    }

    private void decideCall(PlacementRequest request, List<PlacementUpstream> open, long nowNanos) {
        Optional<PlacementUpstream> chosen = ServiceChooser.choose(open, nowNanos);
        if (request.latestNanos() - CALL_NANOS - nowNanos < 0) {
            reject(request, PlacementRefusal.TOO_LATE, nowNanos);
        } else if (chosen.isPresent()) {
            PlacedWork work = new PlacedWork(request, true, 0, 0, nowNanos, nowNanos);
            place(request, List.of(chosen.get()), List.of(work), List.of(0L), nowNanos, nowNanos);
        } else if (mUpstreams.working(request.service(), nowNanos).isEmpty()) {
            reject(request, PlacementRefusal.NO_UPSTREAM, nowNanos);
        }
    }

    private void decideEngine(
            PlacementRequest request,
            EngineCost cost,
            List<PlacementUpstream> open,
            long nowNanos) {
        long shortest = (long) (EngineChooser.shortestMillis(request, cost) * NANOS_PER_MILLI);
        if (nowNanos + shortest - request.latestNanos() > 0) {
            reject(request, PlacementRefusal.TOO_LATE, nowNanos);
            return;
        }
        if (mUpstreams.working(request.service(), nowNanos).isEmpty()) {
            reject(request, PlacementRefusal.NO_UPSTREAM, nowNanos);
            return;
        }
        Optional<EngineOption> option =
                EngineChooser.choose(
                        request,
                        cost,
                        open,
                        mUpstreams.pressure(
                                request.service(), waiting(request.service()), nowNanos),
                        nowNanos);
        if (option.isEmpty()) {
            rejectHopeless(request, cost, nowNanos);
            return;
        }
        if (option.get().firstNanos() - request.latestNanos() > 0) {
            reject(request, PlacementRefusal.TOO_LATE, nowNanos);
        } else if (mayStillBeOnTime(request, option.get(), nowNanos)) {
            return;
        } else if (PlacementRules.isWorthPlacing(request, option.get())) {
            place(request, option.get(), nowNanos);
        }
    }

    /**
     * Rejects a late request that has no place while many late ones wait already: those that can be
     * on time go first, so it would wait until its caller leaves. Answers a lasting overload.
     */
    private void rejectHopeless(PlacementRequest request, EngineCost cost, long nowNanos) {
        boolean returned = mReturned.contains(request.key());
        if (returned || !tooLateForTarget(request, nowNanos)) {
            return;
        }
        long late =
                mWaiting.values().stream()
                        .filter(other -> other.service().equals(request.service()))
                        .filter(other -> tooLateForTarget(other, nowNanos))
                        .count();
        int engines = mUpstreams.working(request.service(), nowNanos).size();
        if (late > LATE_SHARE * engines * cost.concurrentRequests()) {
            reject(request, PlacementRefusal.TOO_LATE, nowNanos);
        }
    }

    /**
     * Returns whether to wait for a better place: this one would be late, although engines that end
     * their present work soon may still begin in time. Answers long prompts that arrive together.
     */
    private boolean mayStillBeOnTime(PlacementRequest request, EngineOption option, long nowNanos) {
        return option.firstNanos() - request.targetNanos() > 0
                && !tooLateForTarget(request, nowNanos);
    }

    private void place(PlacementRequest request, EngineOption option, long nowNanos) {
        List<PlacementUpstream> upstreams =
                option.parts().stream().map(EnginePart::upstream).toList();
        long held = option.reservedTokens().stream().mapToLong(Long::longValue).sum();
        List<PlacedWork> works = new ArrayList<>();
        for (int place = 0; place < option.parts().size(); place++) {
            boolean primary = place == 0;
            long memory =
                    primary ? request.memoryTokens() - held : option.reservedTokens().get(place);
            works.add(
                    new PlacedWork(
                            request,
                            primary,
                            option.parts().get(place).readMillis(),
                            memory,
                            nowNanos,
                            option.firstNanos()));
        }
        if (option.harm() > 0) {
            PlacementRules.markHarmed(option, nowNanos);
        }
        place(request, upstreams, works, option.reservedTokens(), option.firstNanos(), nowNanos);
    }

    private void place(
            PlacementRequest request,
            List<PlacementUpstream> upstreams,
            List<PlacedWork> works,
            List<Long> reserved,
            long firstNanos,
            long nowNanos) {
        withdraw(request.key());
        mPlaced.put(request.key(), upstreams);
        List<PlacementHelper> helpers = new ArrayList<>();
        for (int place = 0; place < upstreams.size(); place++) {
            PlacementUpstream upstream = upstreams.get(place);
            upstream.add(works.get(place), nowNanos);
            if (place > 0) {
                UpstreamNotice notice = upstream.notice();
                helpers.add(
                        new PlacementHelper(notice.id(), notice.address(), reserved.get(place)));
            }
        }
        PlacementUpstream primary = upstreams.get(0);
        primary.starts().started(nowNanos);
        UpstreamNotice notice = primary.notice();
        long expected = TimeUnit.NANOSECONDS.toMillis(firstNanos - nowNanos);
        mActions.add(
                new PlacementAction.Grant(
                        request.key(),
                        new PlacementGrant(notice.id(), notice.address(), expected, helpers)));
    }

    private void reject(PlacementRequest request, PlacementRefusal reason, long nowNanos) {
        withdraw(request.key());
        mActions.add(
                new PlacementAction.Reject(
                        request.key(), reason, mUpstreams.retryAfterMillis(request, nowNanos)));
    }

    private Optional<RoutedService> service(ServiceName name) {
        RoutingTable routing = mRouting;
        if (routing == null) {
            return Optional.empty();
        }
        return Optional.ofNullable(
                mServices.computeIfAbsent(name, key -> routing.service(key).orElse(null)));
    }

    private Optional<EngineCost> engine(ServiceName name) {
        return service(name).flatMap(RoutedService::engine);
    }

    private static void learnPace(PlacementUpstream upstream, PlacedWork work, long nowNanos) {
        double expected = work.expectedNanos() - work.grantedNanos();
        if (!work.started() && expected > 0) {
            upstream.trust().timed((nowNanos - work.grantedNanos()) / expected, nowNanos);
        }
    }
}
