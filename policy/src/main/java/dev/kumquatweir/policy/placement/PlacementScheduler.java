package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Assigns requests to upstreams. Requests wait here, where they can be reordered, withdrawn and
 * rejected, rather than in the queues of the upstreams. Not thread-safe; methods whose result
 * depends on time take the present time as an argument.
 *
 * <p>The scheduler on the leader sees all requests, so that it can enforce limits common to all
 * instances by counting. An instance that cannot reach the leader uses a scheduler of its own in
 * standalone mode, see {@link #configureStandalone}.
 */
public final class PlacementScheduler {
    /** A call of a plain service that starts later than this cannot complete in time. */
    private static final long MINIMUM_CALL_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    /**
     * Share of its time for which a request may wait for limits of upstreams. The wait is an
     * estimate, and a rejection after it would have cost the caller the whole wait.
     */
    private static final double LIMIT_WAIT_SHARE = 0.5;

    private final PlacementLimits mLimits;
    private final SchedulerFeatures mFeatures;
    private final RoutedServices mServices = new RoutedServices();
    private final PlacementUpstreams mUpstreams = new PlacementUpstreams();
    private final WaitingRequests mWaiting;
    private final Map<ServiceName, SlidingRetryBudget> mRetries = new HashMap<>();
    private final CrashHistory mCrashes = new CrashHistory();
    private final CrashAttribution mAttribution = new CrashAttribution();
    private final LearnedCosts mCosts;
    private final PlacedRequests mPlaced;
    private final ComparisonBudget mComparisonBudget = new ComparisonBudget();
    private final DecisionList mDecisions = new DecisionList();
    private int mInstances = 1;
    private long mComparisons;

    /** Creates a scheduler without upstreams and without optional parts. */
    public PlacementScheduler(PlacementLimits limits) {
        this(limits, SchedulerFeatures.NONE);
    }

    /** Creates a scheduler without upstreams. */
    public PlacementScheduler(PlacementLimits limits, SchedulerFeatures features) {
        mLimits = limits;
        mFeatures = features;
        mUpstreams.forecastMemory(features.memoryConfidence());
        mWaiting = new WaitingRequests(features);
        mCosts = new LearnedCosts(features, mServices);
        mPlaced = new PlacedRequests(mServices, mCrashes, mAttribution, mCosts);
    }

    /** Returns the optional parts that are switched on. */
    public SchedulerFeatures features() {
        return mFeatures;
    }

    /** Sets the routing table and the failure domains whose upstreams get no new work. */
    public void setRouting(RoutingTable routing, Set<FailureDomain> domainsOut) {
        mServices.setRouting(routing);
        mUpstreams.setDomains(domainsOut, mFeatures.domainBalance());
        mWaiting.setRouting(routing, mServices::engineCost);
    }

    /**
     * Switches to standalone mode, in which several instances place requests without coordination.
     * This instance then uses its share of each common limit and places nothing on cold upstreams.
     *
     * @param seed different for each instance, so that they do not all choose the same upstreams
     */
    public void configureStandalone(int instances, int seed) {
        mInstances = Math.max(1, instances);
        mUpstreams.configureStandalone(mInstances, seed);
    }

    /** Applies a heartbeat that was received at the given time. */
    public void updateUpstream(UpstreamStatus notice, long receivedNanos) {
        mUpstreams.heard(notice, receivedNanos);
    }

    /** Removes upstreams that have sent nothing for a long time and have no work. */
    public void removeSilentUpstreams(long nowNanos) {
        mUpstreams.removeSilent(nowNanos);
    }

    /** Submits a request. {@link #decide} returns the decision, in its next call or later. */
    public void submit(PlacementRequest submitted, long nowNanos) {
        PlacementRequest request = mCosts.withExpectedOutput(submitted);
        SlidingRetryBudget retries =
                mRetries.computeIfAbsent(request.service(), key -> new SlidingRetryBudget(mLimits));
        if (!request.retry()) {
            retries.recordFirstSend(nowNanos);
        }
        if (mCrashes.quarantined(request.contentHash(), nowNanos)
                || mAttribution.verdict(request, nowNanos) == PartVerdict.QUARANTINED) {
            reject(request, PlacementRefusal.QUARANTINED, nowNanos);
            return;
        }
        if (request.retry() && !retries.tryRetry(mInstances, nowNanos)) {
            reject(request, PlacementRefusal.REPEAT_BUDGET, nowNanos);
            return;
        }
        mWaiting.add(request, mServices.engineCost(request.service()), nowNanos);
    }

    /** Registers a running request that another scheduler placed at {@code grantedNanos}. */
    public void registerRunning(
            PlacementRequest request,
            UpstreamId upstream,
            boolean started,
            long grantedNanos,
            long nowNanos) {
        PlacementUpstream known = mUpstreams.find(upstream);
        if (known == null || mPlaced.contains(request.key())) {
            return;
        }
        Optional<EngineCost> cost = mServices.engineCost(request.service());
        known.add(PlacedPart.running(request, cost, started, grantedNanos, nowNanos), nowNanos);
        mPlaced.add(request.key(), List.of(known));
        mWaiting.registerRunning(request, cost, nowNanos);
    }

    /** Registers the engines that help with a running request that another scheduler placed. */
    public void registerHelpers(PlacementKey key, List<PlacementHelper> helpers, long nowNanos) {
        mPlaced.registerHelpers(key, helpers, mUpstreams::find, nowNanos);
    }

    /** Records that a former scheduler placed requests that are not registered yet. */
    public void beginTakeover(long nowNanos) {
        mUpstreams.beginTakeover(nowNanos);
    }

    /** Returns the use of the memory of engines by forecast. */
    public MemoryUse memoryUse() {
        return mUpstreams.memoryUse(mServices::engineCost);
    }

    /** Removes a waiting request. */
    public void withdraw(PlacementKey key) {
        mWaiting.remove(key);
    }

    /** Records the first event of an answer. */
    public void recordFirstEvent(PlacementKey key, long nowNanos) {
        mPlaced.recordFirstEvent(key, nowNanos);
    }

    /** Records that the gap between two events of an answer exceeded its target. */
    public void recordLateEvent(PlacementKey key, long gapMillis, long nowNanos) {
        mPlaced.recordLateEvent(key, gapMillis, nowNanos);
    }

    /** Records that an upstream sends nothing and keeps its request. */
    public void recordSilence(PlacementKey key, long nowNanos) {
        mPlaced.recordSilence(key, nowNanos);
    }

    /** Records how many events the upstream sent for a placement. Precedes its end. */
    public void recordEventCount(PlacementKey key, long events, long nowNanos) {
        mPlaced.recordEventCount(key, events, nowNanos);
    }

    /**
     * Records the end of a placement.
     *
     * @param faultyAddress address of the upstream at fault if the primary names another, or empty
     */
    public void ended(
            PlacementKey key, PlacementOutcome outcome, String faultyAddress, long nowNanos) {
        mPlaced.ended(key, outcome, faultyAddress, nowNanos);
    }

    /** Removes all requests of an instance that is no longer reachable. */
    public void removeOwner(InstanceId owner, long nowNanos) {
        mWaiting.removeOwner(owner);
        mPlaced.removeOwner(owner, nowNanos);
    }

    /** Decides on the waiting requests. Due after each event and while requests wait. */
    public List<PlacementAction> decide(long nowNanos) {
        if (mWaiting.size() > 0) {
            Map<ServiceName, Optional<ServiceRound>> rounds = new HashMap<>();
            List<WaitingRequest> ordered = mWaiting.ordered(nowNanos);
            for (WaitingRequest waiting : ordered) {
                if (waiting.late()) {
                    round(waiting, rounds, nowNanos).ifPresent(round -> round.adjustLateCount(1));
                }
            }
            ordered.forEach(waiting -> decide(waiting, round(waiting, rounds, nowNanos), nowNanos));
        }
        return mDecisions.drain();
    }

    /**
     * Applies the requests per second, for all instances together, that the response to a request
     * sent at {@code sentNanos} names. Returns whether the limit of the upstream has changed.
     */
    public boolean recordLimit(
            UpstreamId upstream, double perSecond, long sentNanos, long nowNanos) {
        PlacementUpstream known = mUpstreams.find(upstream);
        return known != null && known.recordLimit(perSecond, sentNanos, nowNanos);
    }

    /** Returns the upstreams that have ceased to name a limit since the last call. */
    public List<UpstreamId> drainLiftedLimits() {
        return mPlaced.drainLiftedLimits();
    }

    /** Returns the limits that upstreams name, and when each was last heard. */
    public List<UpstreamLimit> limits() {
        return mUpstreams.limits();
    }

    /** Returns the parts of prompts that are quarantined. */
    public List<QuarantinedPart> quarantinedParts(long nowNanos) {
        return mAttribution.quarantinedParts(nowNanos);
    }

    /** Adds parts that another scheduler has quarantined, unless they were answered since. */
    public void addQuarantinedParts(List<QuarantinedPart> parts, long nowNanos) {
        mAttribution.addQuarantinedParts(parts, nowNanos);
    }

    /** Removes parts from quarantine that another scheduler has released. */
    public void removeQuarantinedParts(List<String> parts, long nowNanos) {
        mAttribution.removeQuarantinedParts(parts, nowNanos);
    }

    /** Returns the crashes of upstreams on request contents, to share with other schedulers. */
    public CrashHistory crashes() {
        return mCrashes;
    }

    /** Returns what was concluded from crashes of upstreams since the last call. */
    public List<CrashEvent> drainCrashEvents() {
        return mAttribution.drainEvents();
    }

    /** Returns the services that teams share now, as requests wait for lack of room. */
    public Set<ServiceName> sharedServices(long nowNanos) {
        return mWaiting.sharedServices(nowNanos);
    }

    /** Returns the number of waiting requests. */
    public int waitingCount() {
        return mWaiting.size();
    }

    /** Returns the number of engine comparisons made so far, one per examined request. */
    public long comparisonCount() {
        return mComparisons;
    }

    /** Returns the number of requests that are placed and have not ended. */
    public int placedCount() {
        return mPlaced.count();
    }

    /** Returns what is learned about the cost of requests. */
    public LearnedCosts learnedCosts() {
        return mCosts;
    }

    private Optional<ServiceRound> round(
            WaitingRequest waiting,
            Map<ServiceName, Optional<ServiceRound>> rounds,
            long nowNanos) {
        return rounds.computeIfAbsent(
                waiting.request().service(),
                name ->
                        mServices
                                .find(name)
                                .map(service -> mUpstreams.beginRound(service, nowNanos)));
    }

    private void decide(WaitingRequest waiting, Optional<ServiceRound> round, long nowNanos) {
        PlacementRequest request = waiting.request();
        PartVerdict verdict = mAttribution.verdict(request, nowNanos);
        if (verdict == PartVerdict.QUARANTINED) {
            reject(request, PlacementRefusal.QUARANTINED, nowNanos);
            return;
        }
        if (verdict == PartVerdict.WAIT && request.latestStartNanos() - nowNanos >= 0) {
            return;
        }
        if (round.isEmpty() || round.get().hasNoUpstream()) {
            boolean expired = request.latestStartNanos() - nowNanos < 0;
            reject(
                    request,
                    expired ? PlacementRefusal.TOO_LATE : PlacementRefusal.NO_UPSTREAM,
                    nowNanos);
            return;
        }
        long limitWaitNanos = round.get().limitWaitNanos(request);
        if (limitWaitNanos > 0) {
            long leftNanos = request.latestStartNanos() - nowNanos;
            if (limitWaitNanos > LIMIT_WAIT_SHARE * leftNanos) {
                long retryMillis = mUpstreams.retryAfterMillis(limitWaitNanos);
                rejectFor(request, PlacementRefusal.LIMITED, retryMillis, nowNanos);
            }
            return;
        }
        Optional<EngineCost> cost = round.get().service().engineCost();
        if (cost.isPresent()) {
            decideGeneration(waiting, cost.get(), round.get(), nowNanos);
        } else {
            decidePlainCall(waiting, round.get(), nowNanos);
        }
    }

    private void decidePlainCall(WaitingRequest waiting, ServiceRound round, long nowNanos) {
        PlacementRequest request = waiting.request();
        long minimumNanos = MINIMUM_CALL_NANOS + waiting.expectedWaitNanos();
        if (request.latestStartNanos() - minimumNanos - nowNanos < 0) {
            reject(request, PlacementRefusal.TOO_LATE, nowNanos);
            return;
        }
        Optional<PlacementUpstream> chosen =
                ServiceChooser.choose(request, round.eligible(request), nowNanos);
        if (chosen.isPresent()) {
            PlacedPart part = new PlacedPart(request, true, 0, 0, nowNanos, nowNanos);
            place(request, List.of(chosen.get()), List.of(part), List.of(0L), nowNanos, nowNanos);
            recordPlacement(chosen.get(), round, nowNanos);
            round.countPlacement();
        } else {
            mWaiting.recordShortage(request, nowNanos);
        }
    }

    private void decideGeneration(
            WaitingRequest waiting, EngineCost cost, ServiceRound round, long nowNanos) {
        PlacementRequest request = waiting.request();
        double minimumMillis = EngineChooser.minimumMillis(request, cost, round.upstreamCount());
        long minimumNanos = (long) (minimumMillis * TimeUnit.MILLISECONDS.toNanos(1));
        if (nowNanos + waiting.expectedWaitNanos() + minimumNanos - request.latestStartNanos()
                > 0) {
            rejectTooLate(waiting, round, nowNanos);
            return;
        }
        if (!round.hasFreeSlot(nowNanos)) {
            shedIfLate(waiting, cost, round, nowNanos);
            return;
        }
        if (!mComparisonBudget.allows(waiting, nowNanos)) {
            return;
        }
        mComparisons++;
        waiting.markCompared(nowNanos);
        Optional<PlacementOption> option =
                EngineChooser.choose(
                        request,
                        cost,
                        round.candidates(request, cost),
                        round.saturation(mWaiting.size(request.service())),
                        mCosts.startError(),
                        nowNanos);
        if (option.isEmpty()) {
            mComparisonBudget.recordUnsuccessful(round.upstreamCount(), nowNanos);
            shedIfLate(waiting, cost, round, nowNanos);
        } else if (!PlacementRules.shouldWaitForTarget(waiting, option.get(), nowNanos)
                && PlacementRules.isWorthPlacing(waiting, option.get())) {
            round.adjustLateCount(waiting.late() ? -1 : 0);
            place(request, option.get(), nowNanos);
            option.get().parts().forEach(part -> recordPlacement(part.upstream(), round, nowNanos));
            round.countPlacement();
        } else {
            mComparisonBudget.recordUnsuccessful(round.upstreamCount(), nowNanos);
        }
    }

    private void recordPlacement(PlacementUpstream upstream, ServiceRound round, long nowNanos) {
        if (!mUpstreams.mayStart(upstream, round.service(), nowNanos)) {
            round.removeEligible(upstream);
        }
    }

    private void rejectTooLate(WaitingRequest waiting, ServiceRound round, long nowNanos) {
        round.adjustLateCount(waiting.late() ? -1 : 0);
        reject(waiting.request(), PlacementRefusal.TOO_LATE, nowNanos);
    }

    /**
     * Records that a request finds no room, and sheds it if too many late ones wait. Requests that
     * can be on time are placed first, so that under sustained overload it would wait until its
     * caller gives up.
     */
    private void shedIfLate(
            WaitingRequest waiting, EngineCost cost, ServiceRound round, long nowNanos) {
        mWaiting.recordShortage(waiting.request(), nowNanos);
        if (PlacementRules.shouldShed(waiting, round, cost)) {
            rejectTooLate(waiting, round, nowNanos);
        }
    }

    private void place(PlacementRequest request, PlacementOption option, long nowNanos) {
        List<PlacementUpstream> upstreams =
                option.parts().stream().map(PartEstimate::upstream).toList();
        PlacementRules.markDelayedParts(option, nowNanos);
        place(
                request,
                upstreams,
                option.placedParts(request, nowNanos),
                option.reservedTokens(),
                option.firstEventNanos(),
                nowNanos);
    }

    private void place(
            PlacementRequest request,
            List<PlacementUpstream> upstreams,
            List<PlacedPart> placedParts,
            List<Long> reserved,
            long firstEventNanos,
            long nowNanos) {
        mWaiting.place(request, nowNanos);
        mAttribution.placed(request);
        mPlaced.add(request.key(), upstreams);
        for (int index = 0; index < upstreams.size(); index++) {
            upstreams.get(index).add(placedParts.get(index), nowNanos);
        }
        upstreams.forEach(upstream -> upstream.recordLimitedStart(nowNanos));
        upstreams.get(0).startLimiter().started(nowNanos);
        mDecisions.grant(request.key(), upstreams, reserved, firstEventNanos, nowNanos);
    }

    private void reject(PlacementRequest request, PlacementRefusal reason, long nowNanos) {
        long retryMillis = mUpstreams.retryAfterMillis(request, mWaiting, nowNanos);
        rejectFor(request, reason, retryMillis, nowNanos);
    }

    private void rejectFor(
            PlacementRequest request, PlacementRefusal reason, long retryAfter, long nowNanos) {
        mWaiting.reject(request, retryAfter, nowNanos);
        mDecisions.reject(request.key(), reason, retryAfter);
    }
}
