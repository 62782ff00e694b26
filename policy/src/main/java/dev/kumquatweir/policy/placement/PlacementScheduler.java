package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.ArrayList;
import java.util.HashMap;
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
 * are kept by counting. An instance that can't reach it runs one of its own with {@link
 * #configureStandalone}.
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
    private final WaitingRequests mWaiting = new WaitingRequests();
    private final Map<PlacementKey, List<PlacementUpstream>> mPlaced = new HashMap<>();
    private final Map<ServiceName, RepeatAllowance> mRepeats = new HashMap<>();
    private final CrashHistory mCrashes = new CrashHistory();
    private final ComparisonBudget mBudget = new ComparisonBudget();
    private final List<PlacementAction> mActions = new ArrayList<>();
    private @Nullable RoutingTable mRouting;
    private int mInstances = 1;
    private long mComparisons;

    /** Makes a scheduler that knows no upstream. */
    public PlacementScheduler(PlacementLimits limits) {
        mLimits = limits;
    }

    // Configuration.

    /** Sets the routing table and the failure domains whose upstreams get no new work. */
    public void setRouting(RoutingTable routing, Set<FailureDomain> domainsOut) {
        mRouting = routing;
        mServices.clear();
        mUpstreams.domainsOut(domainsOut);
        mWaiting.costs(this::engine);
    }

    /**
     * Sets how many instances place requests without knowing of each other: this one uses a share
     * of each common limit, and leaves cold upstreams alone.
     *
     * @param seed differs between instances, so that they don't all choose the same upstreams
     */
    public void configureStandalone(int instances, int seed) {
        mInstances = Math.max(1, instances);
        mUpstreams.alone(mInstances, seed);
    }

    // What is heard of upstreams.

    /** Takes what an upstream said. */
    public void updateUpstream(UpstreamStatus notice, long heardNanos) {
        mUpstreams.heard(notice, heardNanos);
    }

    /** Forgets upstreams that were silent for long and have no work. */
    public void removeSilentUpstreams(long nowNanos) {
        mUpstreams.forgetSilent(nowNanos);
    }

    // What is heard of requests.

    /** Takes a request in; {@link #decide} answers it, at once or later. */
    public void submit(PlacementRequest request, long nowNanos) {
        RepeatAllowance repeats =
                mRepeats.computeIfAbsent(request.service(), none -> new RepeatAllowance(mLimits));
        if (!request.retry()) {
            repeats.first(nowNanos);
        } else if (!repeats.take(mInstances, nowNanos)) {
            reject(request, PlacementRefusal.REPEAT_BUDGET, nowNanos);
            return;
        }
        if (mCrashes.quarantined(request.contentHash(), nowNanos)) {
            reject(request, PlacementRefusal.QUARANTINED, nowNanos);
            return;
        }
        mWaiting.add(new WaitingRequest(request, engine(request.service()), nowNanos));
    }

    /** Takes a request in that an upstream works on already, placed by another scheduler. */
    public void registerRunning(
            PlacementRequest request, UpstreamId upstream, boolean started, long nowNanos) {
        PlacementUpstream known = mUpstreams.find(upstream);
        if (known == null || mPlaced.containsKey(request.key())) {
            return;
        }
        double read =
                engine(request.service())
                        .map(cost -> started ? 0 : cost.prefillMillis(request.promptTokens()) / 2)
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
    }

    /** Takes note of the first event of an answer. */
    public void recordFirstEvent(PlacementKey key, long nowNanos) {
        List<PlacementUpstream> upstreams = mPlaced.getOrDefault(key, List.of());
        if (!upstreams.isEmpty()) {
            PlacementUpstream primary = upstreams.get(0);
            primary.answered(nowNanos);
            primary.trust().served(nowNanos);
            if (upstreams.size() == 1) {
                primary.find(key).ifPresent(work -> learnPace(primary, work, nowNanos));
            }
        }
        upstreams.forEach(upstream -> upstream.started(key, nowNanos));
    }

    /** Takes note that events of an answer came later than its target allows. */
    public void recordLateEvent(PlacementKey key, long gapMillis, long nowNanos) {
        for (PlacementUpstream upstream : mPlaced.getOrDefault(key, List.of())) {
            upstream.find(key).ifPresent(PlacedWork::markLate);
            Optional<EngineCost> cost = engine(upstream.notice().service());
            if (cost.isPresent() && upstream.unreadMillis(nowNanos) <= 0) {
                double pass =
                        cost.get().decodePassMillis(upstream.writing(), upstream.contextTokens());
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
                blamed.trust().lost(nowNanos);
                mCrashes.broke(content, blamed.notice().id(), nowNanos);
            }
            case CANCELLED -> {}
        }
        upstreams.forEach(upstream -> upstream.ended(key, nowNanos));
    }

    /** Drops all requests of an instance that has gone. */
    public void removeOwner(InstanceId owner, long nowNanos) {
        mWaiting.removeOwner(owner);
        List<PlacementKey> lost =
                mPlaced.keySet().stream().filter(key -> key.owner().equals(owner)).toList();
        lost.forEach(key -> ended(key, PlacementOutcome.CANCELLED, "", nowNanos));
    }

    // Decisions.

    /** Decides on waiting requests; due after each input and while requests wait. */
    public List<PlacementAction> decide(long nowNanos) {
        if (mWaiting.size() > 0) {
            Map<ServiceName, Optional<ServiceLook>> looks = new HashMap<>();
            List<WaitingRequest> ordered = mWaiting.ordered(nowNanos);
            for (WaitingRequest waiting : ordered) {
                if (waiting.late()) {
                    look(waiting, looks, nowNanos).ifPresent(look -> look.countLate(1));
                }
            }
            ordered.forEach(waiting -> decide(waiting, look(waiting, looks, nowNanos), nowNanos));
        }
        List<PlacementAction> actions = List.copyOf(mActions);
        mActions.clear();
        return actions;
    }

    /** Returns how many requests wait. */
    public int waitingCount() {
        return mWaiting.size();
    }

    /** Returns for how many requests engines have been compared. */
    public long comparisonCount() {
        return mComparisons;
    }

    /** Returns how many requests are placed. */
    public int placedCount() {
        return mPlaced.size();
    }

    // Helpers.

    private Optional<ServiceLook> look(
            WaitingRequest waiting, Map<ServiceName, Optional<ServiceLook>> looks, long nowNanos) {
        return looks.computeIfAbsent(
                waiting.request().service(),
                name -> service(name).map(known -> mUpstreams.look(known, nowNanos)));
    }

    private void decide(WaitingRequest waiting, Optional<ServiceLook> look, long nowNanos) {
        PlacementRequest request = waiting.request();
        if (look.isEmpty() || look.get().nothingWorks()) {
            boolean expired = request.latestStartNanos() - nowNanos < 0;
            reject(
                    request,
                    expired ? PlacementRefusal.TOO_LATE : PlacementRefusal.NO_UPSTREAM,
                    nowNanos);
            return;
        }
        Optional<EngineCost> cost = look.get().service().engineCost();
        if (cost.isPresent()) {
            decideEngine(waiting, cost.get(), look.get(), nowNanos);
        } else {
            decideCall(request, look.get(), nowNanos);
        }
    }

    private void decideCall(PlacementRequest request, ServiceLook look, long nowNanos) {
        if (request.latestStartNanos() - CALL_NANOS - nowNanos < 0) {
            reject(request, PlacementRefusal.TOO_LATE, nowNanos);
            return;
        }
        Optional<PlacementUpstream> chosen =
                ServiceChooser.choose(request, look.open(request), nowNanos);
        if (chosen.isPresent()) {
            PlacedWork work = new PlacedWork(request, true, 0, 0, nowNanos, nowNanos);
            place(request, List.of(chosen.get()), List.of(work), List.of(0L), nowNanos, nowNanos);
            look.placed(chosen.get(), mUpstreams.mayStart(chosen.get(), look.service(), nowNanos));
        }
    }

    private void decideEngine(
            WaitingRequest waiting, EngineCost cost, ServiceLook look, long nowNanos) {
        PlacementRequest request = waiting.request();
        double shortestMillis = EngineChooser.shortestMillis(request, cost, look.engines());
        long shortest = (long) (shortestMillis * NANOS_PER_MILLI);
        if (nowNanos + shortest - request.latestStartNanos() > 0) {
            dropLate(waiting, look, nowNanos);
            return;
        }
        if (!look.hasPlace(nowNanos)) {
            rejectHopeless(waiting, cost, look, nowNanos);
            return;
        }
        if (!mBudget.allows(waiting, nowNanos)) {
            return;
        }
        mComparisons++;
        waiting.examined(nowNanos);
        Optional<EngineOption> option =
                EngineChooser.choose(
                        request,
                        cost,
                        look.open(request),
                        look.pressure(mWaiting.size(request.service())),
                        nowNanos);
        if (option.isEmpty()) {
            mBudget.vain(look.engines(), nowNanos);
            rejectHopeless(waiting, cost, look, nowNanos);
        } else if (!mayStillBeOnTime(waiting, option.get(), nowNanos)
                && PlacementRules.isWorthPlacing(request, option.get())) {
            look.countLate(waiting.late() ? -1 : 0);
            place(request, option.get(), nowNanos);
            PlacementUpstream primary = option.get().primary();
            look.placed(primary, mUpstreams.mayStart(primary, look.service(), nowNanos));
        } else {
            mBudget.vain(look.engines(), nowNanos);
        }
    }

    private void dropLate(WaitingRequest waiting, ServiceLook look, long nowNanos) {
        look.countLate(waiting.late() ? -1 : 0);
        reject(waiting.request(), PlacementRefusal.TOO_LATE, nowNanos);
    }

    /**
     * Rejects a late request that has no place while many late ones wait already: those that can be
     * on time go first, so it would wait until its caller leaves. Answers a lasting overload.
     */
    private void rejectHopeless(
            WaitingRequest waiting, EngineCost cost, ServiceLook look, long nowNanos) {
        boolean candidate = waiting.late() && !waiting.returned();
        if (candidate
                && look.late() > LATE_SHARE * look.engines() * cost.maximumConcurrentRequests()) {
            dropLate(waiting, look, nowNanos);
        }
    }

    /**
     * Returns whether to wait for a better place: this one would be late, although engines that end
     * their present work soon may still begin in time. Answers long prompts that arrive together.
     */
    private static boolean mayStillBeOnTime(
            WaitingRequest waiting, EngineOption option, long nowNanos) {
        return option.firstNanos() - waiting.request().targetNanos() > 0
                && !waiting.tooLateForTarget(nowNanos);
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
                UpstreamStatus notice = upstream.notice();
                helpers.add(
                        new PlacementHelper(notice.id(), notice.address(), reserved.get(place)));
            }
        }
        PlacementUpstream primary = upstreams.get(0);
        primary.starts().started(nowNanos);
        UpstreamStatus notice = primary.notice();
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
        return service(name).flatMap(RoutedService::engineCost);
    }

    private static void learnPace(PlacementUpstream upstream, PlacedWork work, long nowNanos) {
        double expected = work.expectedNanos() - work.grantedNanos();
        if (!work.started() && expected > 0) {
            upstream.trust().timed((nowNanos - work.grantedNanos()) / expected, nowNanos);
        }
    }
}
