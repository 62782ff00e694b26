package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.UpstreamStatus;
import dev.kumquatweir.policy.locality.DomainCapacity;
import dev.kumquatweir.policy.locality.PromptSizes;
import dev.kumquatweir.policy.locality.ServiceDomains;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * The upstreams that a scheduler knows, and the rules for which of them may receive work. Owned by
 * {@link PlacementScheduler}; not thread-safe.
 */
final class PlacementUpstreams {
    /**
     * Five heartbeat intervals. Within this time some control instance receives a heartbeat unless
     * the upstream has failed or is partitioned.
     */
    private static final long MAXIMUM_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** A standalone instance receives no heartbeats and continues with its last known state. */
    private static final long STANDALONE_MAXIMUM_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final long REMOVAL_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long MINIMUM_RETRY_MILLIS = 250;

    /** At most a third of the time that callers have left. */
    private static final long MAXIMUM_RETRY_MILLIS = 3_300;

    /** While all slots are in use, an earlier retry would be rejected again. */
    private static final long SATURATED_RETRY_MILLIS = 1_000;

    /** Part of an upstream's memory that is divided among those that prefer it, and the rest. */
    private static final double DIVIDED_SHARE = 0.5;

    /**
     * Fewest upstreams that an instance without coordination prefers. Of a burst of 360 requests
     * from 30 instances to 60 engines, 1 or 2 let 120 be placed, 8 let 211; 3 to 5 overfilled
     * engines, as few large shares coincide more easily.
     */
    private static final int MINIMUM_PREFERRED = 8;

    /** No length is certain; the quantile of a probability of 1 is infinite. */
    private static final double MAXIMUM_CONFIDENCE = 0.9999;

    private static final int HASH_MULTIPLIER = 0x9E3779B9;

    private final Map<UpstreamId, PlacementUpstream> mUpstreams = new LinkedHashMap<>();
    private Set<FailureDomain> mDomainsOut = Set.of();
    private final Map<ServiceName, ServiceDomains> mDomains = new HashMap<>();
    private final PromptSizes mPromptSizes = new PromptSizes();
    private boolean mBalanced;
    private int mInstances = 1;
    private boolean mStandalone;
    private @Nullable MemoryModel mMemory;
    private int mSeed;
    private @Nullable StandaloneCandidates mStandaloneCandidates;

    /**
     * Sets the failure domains whose upstreams get no new work.
     *
     * @param balanced whether placements weigh the time of crossing between domains
     */
    void setDomains(Set<FailureDomain> domainsOut, boolean balanced) {
        mDomainsOut = Set.copyOf(domainsOut);
        mBalanced = balanced;
    }

    /**
     * Makes forecasts of the memory of upstreams. Called before the first upstream is heard of.
     *
     * @param confidence probability with which requests fit into memory; 0 for no forecasts
     */
    void forecastMemory(double confidence) {
        mMemory = confidence > 0 ? new MemoryModel(Math.min(MAXIMUM_CONFIDENCE, confidence)) : null;
    }

    /** Records that another scheduler has placed requests that are not reported yet. */
    void beginTakeover(long nowNanos) {
        for (PlacementUpstream upstream : mUpstreams.values()) {
            UpstreamMemory memory = upstream.memory();
            if (memory != null) {
                memory.beginTakeover(nowNanos);
            }
        }
    }

    /** Returns the use of memory by forecast. */
    MemoryUse memoryUse(Function<ServiceName, Optional<EngineCost>> costs) {
        double highest = 0;
        int tight = 0;
        for (PlacementUpstream upstream : mUpstreams.values()) {
            UpstreamMemory memory = upstream.memory();
            Optional<EngineCost> cost = costs.apply(upstream.notice().service());
            if (memory != null && cost.isPresent()) {
                double used = memory.usedShare(cost.get());
                highest = Math.max(highest, used);
                tight += used > MemoryUse.TIGHT_SHARE ? 1 : 0;
            }
        }
        MemoryModel model = mMemory;
        return model == null
                ? MemoryUse.NONE
                : new MemoryUse((int) (100 * highest), tight, model.passedOverCount());
    }

    /**
     * Sets that several instances place work without coordination.
     *
     * @param instances number of such instances
     * @param seed different for each instance, so that they do not all choose the same upstreams
     */
    void configureStandalone(int instances, int seed) {
        mStandalone = true;
        mInstances = instances;
        mSeed = seed;
        mStandaloneCandidates = new StandaloneCandidates(mPromptSizes, seed);
        mUpstreams.values().forEach(this::assignPreference);
        assignMemoryShares();
    }

    /**
     * Divides the memory of each service's upstreams among instances without coordination: half of
     * it among those instances that prefer the upstream, the other half among all. Whole short
     * prompts fit only into the first half; longer ones wait for a leader.
     */
    private void assignMemoryShares() {
        if (!mStandalone || mMemory == null) {
            return;
        }
        Map<ServiceName, List<PlacementUpstream>> services =
                mUpstreams.values().stream()
                        .collect(Collectors.groupingBy(upstream -> upstream.notice().service()));
        services.values().forEach(this::assignMemoryShares);
    }

    private void assignMemoryShares(List<PlacementUpstream> upstreams) {
        int preferred =
                Math.min(
                        upstreams.size(),
                        Math.max(MINIMUM_PREFERRED, upstreams.size() / mInstances));
        double sharers = Math.max(1, (double) mInstances * preferred / upstreams.size());
        List<PlacementUpstream> ranked =
                upstreams.stream()
                        .sorted(
                                Comparator.comparingDouble(PlacementUpstream::preference)
                                        .reversed())
                        .toList();
        for (int rank = 0; rank < ranked.size(); rank++) {
            UpstreamMemory memory = ranked.get(rank).memory();
            if (memory != null) {
                double divided = rank < preferred ? sharers : mInstances;
                memory.setShare(mInstances == 1 ? 1 : DIVIDED_SHARE / divided);
            }
        }
    }

    private void assignPreference(PlacementUpstream upstream) {
        if (mStandalone) {
            upstream.configureStandalone(
                    mInstances, hashToUnitInterval(upstream.notice().id().hashCode() ^ mSeed));
        }
    }

    /** Hashes a value to a number from 0 to 1; similar values give different numbers. */
    static double hashToUnitInterval(int value) {
        int mixed = value * HASH_MULTIPLIER;
        mixed = (mixed ^ (mixed >>> 15)) * HASH_MULTIPLIER;
        return Math.floorMod(mixed ^ (mixed >>> 13), 1000) / 1000.0;
    }

    void heard(UpstreamStatus notice, long heardNanos) {
        PlacementUpstream known = mUpstreams.get(notice.id());
        if (known == null) {
            PlacementUpstream upstream = new PlacementUpstream(notice, mPromptSizes, heardNanos);
            MemoryModel model = mMemory;
            if (model != null) {
                upstream.forecastMemory(model);
            }
            assignPreference(upstream);
            mUpstreams.put(notice.id(), upstream);
            assignMemoryShares();
        } else {
            known.heard(notice, heardNanos);
        }
    }

    void removeSilent(long nowNanos) {
        mUpstreams
                .values()
                .removeIf(
                        upstream ->
                                upstream.silentNanos(nowNanos) > REMOVAL_SILENCE_NANOS
                                        && upstream.idle());
    }

    /** Returns the limits that upstreams name, and when each was last heard. */
    List<UpstreamLimit> limits() {
        return mUpstreams.values().stream()
                .flatMap(
                        upstream ->
                                upstream.limit().stream().map(limit -> describe(upstream, limit)))
                .toList();
    }

    private static UpstreamLimit describe(PlacementUpstream upstream, NamedLimit limit) {
        return new UpstreamLimit(upstream.notice().id(), limit.perSecond(), limit.heardNanos());
    }

    @Nullable PlacementUpstream find(UpstreamId id) {
        return mUpstreams.get(id);
    }

    /**
     * Returns the upstreams of a service that may receive new work by {@link
     * PlacementUpstream#acceptsWork}.
     */
    List<PlacementUpstream> available(ServiceName service, long nowNanos) {
        long maximumSilenceNanos =
                mStandalone ? STANDALONE_MAXIMUM_SILENCE_NANOS : MAXIMUM_SILENCE_NANOS;
        return mUpstreams.values().stream()
                .filter(upstream -> upstream.notice().service().equals(service))
                .filter(upstream -> upstream.takesWork(mDomainsOut, maximumSilenceNanos, nowNanos))
                .toList();
    }

    /** Returns the state of a service for one scheduling round. */
    ServiceRound beginRound(RoutedService service, long nowNanos) {
        List<PlacementUpstream> available = available(service.name(), nowNanos);
        List<PlacementUpstream> eligible =
                available.stream()
                        .filter(upstream -> mayStart(upstream, service, nowNanos))
                        .toList();
        if (mBalanced) {
            updateDomains(service, eligible, nowNanos);
        }
        boolean uncoordinated = mBalanced && mInstances > 1;
        return new ServiceRound(
                service,
                available,
                eligible,
                uncoordinated ? mStandaloneCandidates : null,
                nowNanos);
    }

    /** Sums up the upstreams that may get work in each domain; a slow one counts for less. */
    private void updateDomains(
            RoutedService service, List<PlacementUpstream> eligible, long nowNanos) {
        ServiceDomains domains =
                mDomains.computeIfAbsent(service.name(), key -> new ServiceDomains());
        domains.setDelays(service.domainDelays());
        domains.reset();
        for (PlacementUpstream upstream : eligible) {
            DomainCapacity capacity = upstream.domainCapacity();
            if (capacity == null) {
                capacity = domains.capacity(upstream.notice().domain());
                upstream.setDomainCapacity(capacity);
            }
            int slots = upstream.availableSlots(upstream.notice().slots(), nowNanos);
            capacity.add(
                    slots / upstream.health().slowdown(nowNanos), upstream.busyShare(nowNanos));
        }
    }

    /**
     * Returns whether the limit that an upstream names, and the one on starts per second of a cold
     * one, allow another request. A standalone instance uses its share of the limit, but at least
     * one start per second: with many instances the share is below one, and none of them would
     * start any request. It starts nothing on cold upstreams.
     */
    boolean mayStart(PlacementUpstream upstream, RoutedService service, long nowNanos) {
        if (!upstream.withinLimit(nowNanos) || (mStandalone && upstream.cold(nowNanos))) {
            return false;
        }
        double share = service.coldRequestsPerSecond() / mInstances;
        boolean limited = service.coldRequestsPerSecond() > 0;
        double startsPerSecond = mStandalone ? Math.max(1, share) : share;
        return !limited || upstream.startLimiter().allows(startsPerSecond, nowNanos);
    }

    /** Returns the time after which a caller should retry that would have to wait for limits. */
    long retryAfterMillis(long limitWaitNanos) {
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(limitWaitNanos);
        return Math.max(MINIMUM_RETRY_MILLIS, Math.min(MAXIMUM_RETRY_MILLIS, waitMillis));
    }

    /**
     * Returns the time after which a rejected caller should retry, in milliseconds: when the share
     * of its team reaches it, or without shares a time spread over that in which slots become free.
     */
    long retryAfterMillis(PlacementRequest request, WaitingRequests waiting, long nowNanos) {
        long leftNanos = Math.max(0, request.deadlineNanos() - nowNanos);
        long maximumNanos =
                Math.min(
                        TimeUnit.MILLISECONDS.toNanos(MAXIMUM_RETRY_MILLIS),
                        leftNanos / RecentRejections.TIME_LEFT_PARTS);
        OptionalLong returnNanos = waiting.returnNanos(request, maximumNanos, nowNanos);
        return returnNanos.isPresent()
                ? retryAfterMillis(returnNanos.getAsLong())
                : retryAfterMillis(request, nowNanos);
    }

    /** Spreads retries over the time in which slots become free. */
    private long retryAfterMillis(PlacementRequest request, long nowNanos) {
        List<PlacementUpstream> available = available(request.service(), nowNanos);
        boolean saturated =
                available.stream()
                        .noneMatch(
                                upstream ->
                                        upstream.primaryCount() < upstream.usableSlots(nowNanos));
        double backlogMillis =
                available.stream()
                        .mapToDouble(upstream -> upstream.pendingPrefillMillis(nowNanos))
                        .average()
                        .orElse(MINIMUM_RETRY_MILLIS);
        double minimumMillis =
                saturated ? SATURATED_RETRY_MILLIS : MINIMUM_RETRY_MILLIS + backlogMillis;
        double position = hashToUnitInterval(request.key().hashCode());
        double maximumMillis =
                saturated ? MAXIMUM_RETRY_MILLIS : minimumMillis + backlogMillis + 500;
        return Math.min(
                MAXIMUM_RETRY_MILLIS,
                (long) (minimumMillis + position * (maximumMillis - minimumMillis)));
    }
}
