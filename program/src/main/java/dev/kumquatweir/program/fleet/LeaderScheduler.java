package dev.kumquatweir.program.fleet;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamStatus;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.policy.placement.CrashEvent;
import dev.kumquatweir.policy.placement.MemoryUse;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementLimits;
import dev.kumquatweir.policy.placement.PlacementRequest;
import dev.kumquatweir.policy.placement.PlacementScheduler;
import dev.kumquatweir.policy.placement.SchedulerFeatures;
import dev.kumquatweir.policy.placement.UpstreamLimit;
import dev.kumquatweir.transport.Responder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Runs the placement scheduler while this instance is the leader and responds to the placement
 * requests of entry instances. Confined to one thread, except for the waiting gauge.
 */
final class LeaderScheduler {
    private static final EventLog LOG = EventLog.of(LeaderScheduler.class);

    private final PlacementLimits mLimits;
    private final SchedulerFeatures mFeatures;
    private final MetricRegistry mMetrics;
    private final Clocks mClocks;
    private final CrossingMetrics mCrossings;
    private final CostMetrics mCosts;
    private final Map<PlacementKey, PendingPlacement> mPendingPlacements = new HashMap<>();
    private @Nullable PlacementScheduler mScheduler;
    private @Nullable RoutingTable mRouting;
    private Set<FailureDomain> mDomainsOut = Set.of();
    private volatile int mWaitingCount;
    private volatile int mLimitedCount;
    private volatile MemoryUse mMemoryUse = MemoryUse.NONE;
    private volatile Set<ServiceName> mSharedServices = Set.of();

    private record PendingPlacement(PlacementRequest request, Responder responder) {}

    LeaderScheduler(
            PlacementLimits limits,
            SchedulerFeatures features,
            MetricRegistry metrics,
            Clocks clocks) {
        mLimits = limits;
        mFeatures = features;
        mMetrics = metrics;
        mClocks = clocks;
        mCrossings = new CrossingMetrics(metrics, clocks.nowNanos());
        mCosts = new CostMetrics(metrics, clocks.nowNanos());
        Gauge<Integer> waiting = () -> mWaitingCount;
        metrics.register("kumquatweir_scheduler_waiting", waiting);
        Gauge<Integer> limited = () -> mLimitedCount;
        metrics.register("kumquatweir_scheduler_limited_upstreams", limited);
        Gauge<Integer> memoryPercent = () -> mMemoryUse.highestPercent();
        metrics.register("kumquatweir_scheduler_memory_percent", memoryPercent);
        Gauge<Integer> tightEngines = () -> mMemoryUse.tightEngines();
        metrics.register("kumquatweir_scheduler_memory_tight_engines", tightEngines);
        Gauge<Long> passedOver = () -> mMemoryUse.passedOver();
        metrics.register("kumquatweir_scheduler_memory_passed_over", passedOver);
        Gauge<Integer> shared = () -> mSharedServices.size();
        metrics.register("kumquatweir_scheduler_shared_services", shared);
    }

    void setRouting(RoutingTable routing, Set<FailureDomain> domainsOut) {
        mRouting = routing;
        mDomainsOut = domainsOut;
        PlacementScheduler scheduler = mScheduler;
        if (scheduler != null) {
            scheduler.setRouting(routing, domainsOut);
            sendDecisions(scheduler, mClocks.nowNanos());
        }
    }

    void updateUpstream(UpstreamStatus status, long lastSeenNanos) {
        PlacementScheduler scheduler = mScheduler;
        if (scheduler != null) {
            scheduler.updateUpstream(status, lastSeenNanos);
            mCrossings.heard(status);
        }
    }

    /** Starts or stops scheduling when leadership is gained or lost. */
    void setLeading(
            boolean leading,
            UpstreamDirectory upstreams,
            QuarantineDirectory quarantine,
            long nowNanos) {
        if (leading == (mScheduler != null)) {
            return;
        }
        LOG.info(
                "scheduler_changed",
                "leading",
                leading,
                "upstreams",
                upstreams.size(),
                "memory_confidence",
                mFeatures.memoryConfidence());
        if (!leading) {
            mScheduler = null;
            mLimitedCount = 0;
            mMemoryUse = MemoryUse.NONE;
            mSharedServices = Set.of();
            mPendingPlacements
                    .values()
                    .forEach(pending -> pending.responder().respond(notLeading()));
            mPendingPlacements.clear();
            return;
        }
        PlacementScheduler scheduler = new PlacementScheduler(mLimits, mFeatures);
        RoutingTable routing = mRouting;
        if (routing != null) {
            scheduler.setRouting(routing, mDomainsOut);
        }
        upstreams
                .changedSince(0, nowNanos)
                .forEach(
                        aged -> {
                            long ageNanos = TimeUnit.MILLISECONDS.toNanos(aged.ageMillis());
                            scheduler.updateUpstream(aged.status(), nowNanos - ageNanos);
                            mCrossings.heard(aged.status());
                        });
        scheduler.beginTakeover(nowNanos);
        scheduler.addQuarantinedParts(quarantine.quarantinedParts(nowNanos), nowNanos);
        scheduler.crashes().add(quarantine.crashes(nowNanos), nowNanos);
        mScheduler = scheduler;
    }

    /**
     * Applies verdicts of other instances while this instance is the leader.
     *
     * @return whether there were any
     */
    boolean applyVerdicts(
            List<QuarantineVerdict> verdicts, QuarantineDirectory quarantine, long nowNanos) {
        PlacementScheduler scheduler = mScheduler;
        if (scheduler == null || verdicts.isEmpty()) {
            return false;
        }
        quarantine.apply(verdicts, scheduler, nowNanos);
        return true;
    }

    /**
     * Reports to the directory what the scheduler has in quarantine, while this instance is the
     * leader.
     *
     * @return whether that has changed the directory
     */
    boolean reportVerdicts(QuarantineDirectory quarantine, long nowNanos, long wallMillis) {
        PlacementScheduler scheduler = mScheduler;
        return scheduler != null
                && quarantine.update(
                        scheduler.quarantinedParts(nowNanos),
                        scheduler.crashes().repeated(nowNanos),
                        nowNanos,
                        wallMillis);
    }

    void place(InstanceId owner, Bytes payload, Responder responder) {
        PlacementScheduler scheduler = mScheduler;
        if (scheduler == null) {
            responder.respond(notLeading());
            return;
        }
        long nowNanos = mClocks.nowNanos();
        PlacementCodec.decodeRequest(owner, payload, nowNanos)
                .peekLeft(fault -> LOG.failure("frame_malformed", fault, "peer", owner))
                .peek(request -> submit(scheduler, request, responder, nowNanos));
    }

    private void submit(
            PlacementScheduler scheduler,
            PlacementRequest request,
            Responder responder,
            long nowNanos) {
        mPendingPlacements.put(request.key(), new PendingPlacement(request, responder));
        scheduler.submit(request, nowNanos);
    }

    void handleEvent(InstanceId owner, Bytes payload) {
        PlacementScheduler scheduler = mScheduler;
        if (scheduler == null) {
            return;
        }
        long nowNanos = mClocks.nowNanos();
        PlacementEvent.decode(owner, payload, nowNanos)
                .peekLeft(fault -> LOG.failure("frame_malformed", fault, "peer", owner))
                .peek(event -> apply(scheduler, owner, event, nowNanos));
    }

    private void apply(
            PlacementScheduler scheduler, InstanceId owner, PlacementEvent event, long nowNanos) {
        switch (event) {
            case PlacementEvent.Started started ->
                    scheduler.recordFirstEvent(started.key(), nowNanos);
            case PlacementEvent.Delayed delayed ->
                    scheduler.recordLateEvent(delayed.key(), delayed.gapMillis(), nowNanos);
            case PlacementEvent.Silent silent -> scheduler.recordSilence(silent.key(), nowNanos);
            case PlacementEvent.Ended ended ->
                    scheduler.ended(ended.key(), ended.outcome(), ended.culprit(), nowNanos);
            case PlacementEvent.Withdrawn withdrawn -> {
                scheduler.withdraw(withdrawn.key());
                mPendingPlacements.remove(withdrawn.key());
            }
            case PlacementEvent.Running running ->
                    scheduler.registerRunning(
                            running.request(),
                            running.upstream(),
                            running.started(),
                            running.grantedNanos(),
                            nowNanos);
            case PlacementEvent.Helped helped ->
                    scheduler.registerHelpers(helped.key(), helped.helpers(), nowNanos);
            case PlacementEvent.Measured measured ->
                    scheduler.recordEventCount(measured.key(), measured.events(), nowNanos);
            case PlacementEvent.Limited limited -> recordLimit(scheduler, owner, limited, nowNanos);
        }
    }

    private void recordLimit(
            PlacementScheduler scheduler,
            InstanceId owner,
            PlacementEvent.Limited limited,
            long nowNanos) {
        UpstreamLimit limit = limited.limit();
        if (scheduler.recordLimit(
                limit.upstream(), limit.perSecond(), limit.heardNanos(), nowNanos)) {
            LOG.info(
                    "upstream_limited",
                    "upstream",
                    limit.upstream(),
                    "per_second",
                    limit.perSecond(),
                    "told_by",
                    owner);
            mLimitedCount = scheduler.limits().size();
        }
    }

    private void recordLiftedLimit(PlacementScheduler scheduler, UpstreamId upstream) {
        LOG.info("upstream_limit_ended", "upstream", upstream);
        mLimitedCount = scheduler.limits().size();
    }

    /** Logs when the memory of engines becomes tight, and when none is tight any more. */
    private void recordMemoryUse(MemoryUse use) {
        if (use.tightEngines() > 0 != mMemoryUse.tightEngines() > 0) {
            LOG.info(
                    use.tightEngines() > 0 ? "engine_memory_tight" : "engine_memory_relaxed",
                    "engines",
                    use.tightEngines(),
                    "highest_percent",
                    use.highestPercent(),
                    "passed_over",
                    use.passedOver());
        }
        mMemoryUse = use;
    }

    void removeSilent(List<InstanceId> silentEntries, long nowNanos) {
        PlacementScheduler scheduler = mScheduler;
        if (scheduler != null) {
            scheduler.removeSilentUpstreams(nowNanos);
            recordMemoryUse(scheduler.memoryUse());
            mCosts.record(scheduler.learnedCosts().accuracy(), nowNanos);
            silentEntries.forEach(
                    entry -> {
                        LOG.info("entry_lost", "entry", entry);
                        scheduler.removeOwner(entry, nowNanos);
                        mPendingPlacements.keySet().removeIf(key -> key.owner().equals(entry));
                    });
        }
    }

    /**
     * Decides on waiting requests and sends the decisions. Must be called after each message and
     * periodically while requests wait.
     */
    void decide(long nowNanos) {
        PlacementScheduler scheduler = mScheduler;
        if (scheduler != null) {
            sendDecisions(scheduler, nowNanos);
        }
    }

    /** Returns the number of waiting requests. */
    int waitingCount() {
        return mWaitingCount;
    }

    private void sendDecisions(PlacementScheduler scheduler, long nowNanos) {
        for (PlacementAction action : scheduler.decide(nowNanos)) {
            PendingPlacement pending = mPendingPlacements.remove(action.key());
            if (action instanceof PlacementAction.Reject reject) {
                LOG.info(
                        "placement_rejected",
                        "request",
                        pending == null ? "" : pending.request().requestId(),
                        "owner",
                        reject.key().owner(),
                        "reason",
                        reject.reason(),
                        "waiting",
                        scheduler.waitingCount(),
                        "placed",
                        scheduler.placedCount());
                mMetrics.counter("kumquatweir_scheduler_rejected").inc();
            }
            if (pending != null && action instanceof PlacementAction.Grant grant) {
                mCrossings.placed(pending.request().domain(), grant.grant().upstream(), nowNanos);
            }
            if (pending != null) {
                pending.responder().respond(PlacementCodec.encode(Optional.of(action)));
            }
        }
        scheduler.drainCrashEvents().forEach(this::recordCrashEvent);
        scheduler.drainLiftedLimits().forEach(upstream -> recordLiftedLimit(scheduler, upstream));
        mWaitingCount = scheduler.waitingCount();
        recordSharedServices(scheduler);
    }

    /** Logs which services teams begin or cease to share, each at most once per second. */
    private void recordSharedServices(PlacementScheduler scheduler) {
        Set<ServiceName> before = mSharedServices;
        Set<ServiceName> now = scheduler.sharedServices(mClocks.nowNanos());
        if (now.equals(before)) {
            return;
        }
        mSharedServices = now;
        now.stream()
                .filter(service -> !before.contains(service))
                .forEach(
                        service -> {
                            mMetrics.counter("kumquatweir_scheduler_sharing_began").inc();
                            LOG.info(
                                    "team_sharing_began",
                                    "service",
                                    service,
                                    "waiting",
                                    scheduler.waitingCount(),
                                    "placed",
                                    scheduler.placedCount());
                        });
        before.stream()
                .filter(service -> !now.contains(service))
                .forEach(service -> LOG.info("team_sharing_ended", "service", service));
    }

    private void recordCrashEvent(CrashEvent event) {
        CrashEventLog.log(event);
        if (event instanceof CrashEvent.Suspects) {
            mMetrics.counter("kumquatweir_crash_suspects").inc();
        } else if (event instanceof CrashEvent.Quarantined) {
            mMetrics.counter("kumquatweir_parts_quarantined").inc();
        }
    }

    private static Bytes notLeading() {
        return PlacementCodec.encode(Optional.empty());
    }
}
