package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.EngineCost;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * The requests that run on upstreams, and what their progress tells about these. Owned by {@link
 * PlacementScheduler}; not thread-safe.
 */
final class PlacedRequests {
    private final RoutedServices mServices;
    private final CrashHistory mCrashes;
    private final CrashAttribution mAttribution;
    private final LearnedCosts mCosts;
    private final Map<PlacementKey, List<PlacementUpstream>> mPlacements = new HashMap<>();
    private final NewOwners mNewOwners = new NewOwners();
    private final List<UpstreamId> mLiftedLimits = new ArrayList<>();

    PlacedRequests(
            RoutedServices services,
            CrashHistory crashes,
            CrashAttribution attribution,
            LearnedCosts costs) {
        mServices = services;
        mCrashes = crashes;
        mAttribution = attribution;
        mCosts = costs;
    }

    /** Adds a placement; the first upstream is the one that answers. */
    void add(PlacementKey key, List<PlacementUpstream> upstreams) {
        mPlacements.put(key, upstreams);
    }

    /**
     * Registers the engines that help with a request which another scheduler has placed. Unknown
     * placements and engines are ignored, and those that are registered already.
     */
    void registerHelpers(
            PlacementKey key,
            List<PlacementHelper> helpers,
            Function<UpstreamId, @Nullable PlacementUpstream> find,
            long nowNanos) {
        List<PlacementUpstream> upstreams = mPlacements.getOrDefault(key, List.of());
        Optional<PlacedPart> primary =
                upstreams.stream().findFirst().flatMap(first -> first.find(key));
        if (primary.isEmpty() || upstreams.size() > 1) {
            return;
        }
        List<PlacementUpstream> all = new ArrayList<>(upstreams);
        for (PlacementHelper helper : helpers) {
            PlacementUpstream known = find.apply(helper.upstream());
            if (known != null && !all.contains(known)) {
                PlacedPart part =
                        primary.get()
                                .helping(helper.reservedTokens(), 1 + helpers.size(), nowNanos);
                known.add(part, nowNanos);
                all.add(known);
            }
        }
        mPlacements.put(key, all);
    }

    boolean contains(PlacementKey key) {
        return mPlacements.containsKey(key);
    }

    int count() {
        return mPlacements.size();
    }

    /** Records the first event of an answer. */
    void recordFirstEvent(PlacementKey key, long nowNanos) {
        List<PlacementUpstream> upstreams = mPlacements.getOrDefault(key, List.of());
        if (!upstreams.isEmpty()) {
            PlacementUpstream primary = upstreams.get(0);
            primary.answered(nowNanos);
            primary.health().recordProgress(nowNanos);
            primary.find(key).ifPresent(part -> liftLimit(primary, part));
            primary.find(key)
                    .ifPresent(part -> mAttribution.begun(primary, part.request(), nowNanos));
            if (mNewOwners.tellsPace(key.owner()) && upstreams.size() == 1) {
                primary.recordSlowdown(key, nowNanos);
            }
        }
        upstreams.forEach(upstream -> upstream.started(key, nowNanos));
    }

    /** Records that the gap between two events of an answer exceeded its target. */
    void recordLateEvent(PlacementKey key, long gapMillis, long nowNanos) {
        for (PlacementUpstream upstream : mPlacements.getOrDefault(key, List.of())) {
            upstream.find(key).ifPresent(PlacedPart::markLate);
            Optional<EngineCost> cost = mServices.engineCost(upstream.notice().service());
            if (cost.isPresent() && upstream.pendingPrefillMillis(nowNanos) <= 0) {
                double passMillis =
                        cost.get()
                                .decodePassMillis(
                                        upstream.decodingCount(), upstream.contextTokens());
                upstream.health().recordSlowdown(gapMillis / Math.max(1, passMillis), nowNanos);
            }
            return;
        }
    }

    /** Records that an upstream sends nothing and keeps its request. */
    void recordSilence(PlacementKey key, long nowNanos) {
        mPlacements.getOrDefault(key, List.of()).stream()
                .limit(1)
                .forEach(upstream -> upstream.health().recordLostAnswer(nowNanos));
    }

    /** Records how many events the upstream that answers has sent. */
    void recordEventCount(PlacementKey key, long events, long nowNanos) {
        mPlacements.getOrDefault(key, List.of()).stream()
                .limit(1)
                .flatMap(upstream -> upstream.find(key).stream())
                .forEach(part -> part.recordEventCount(events));
    }

    /**
     * Records the end of a placement.
     *
     * @param key key of the placement
     * @param outcome its result
     * @param faultyAddress address of the upstream at fault if the primary reported another one,
     *     else empty
     */
    void ended(PlacementKey key, PlacementOutcome outcome, String faultyAddress, long nowNanos) {
        List<PlacementUpstream> upstreams = mPlacements.remove(key);
        if (upstreams == null) {
            return;
        }
        mAttribution.ended(key);
        PlacementUpstream primary = upstreams.get(0);
        PlacementUpstream faulty =
                upstreams.stream()
                        .filter(upstream -> upstream.notice().address().equals(faultyAddress))
                        .findFirst()
                        .orElse(primary);
        Optional<PlacedPart> primaryPart = primary.find(key);
        String contentHash = primaryPart.map(part -> part.request().contentHash()).orElse("");
        switch (outcome) {
            case ANSWERED -> {
                primaryPart.ifPresent(part -> liftLimit(primary, part));
                primaryPart.ifPresent(part -> learnLength(primary, part));
                primary.answered(nowNanos);
                primary.health().answered(false, nowNanos);
                primaryPart.ifPresent(part -> primary.recordWorkTime(part, nowNanos));
                mCrashes.answered(contentHash);
                mAttribution.progressed(primary, nowNanos);
                primaryPart.ifPresent(part -> mAttribution.answered(part.request(), nowNanos));
                primaryPart.ifPresent(part -> mCosts.answered(part, nowNanos));
            }
            case UPSTREAM_ERROR -> {
                primaryPart.ifPresent(part -> liftLimit(primary, part));
                primary.answered(nowNanos);
                primary.health().answered(true, nowNanos);
                mAttribution.progressed(primary, nowNanos);
            }
            case NOT_CONNECTED -> faulty.health().failed(nowNanos);
            case FULL -> faulty.health().recordFull(nowNanos);
            case MISDIRECTED -> faulty.markMisdirected();
            case BROKEN, SILENT -> {
                faulty.health().recordLostAnswer(nowNanos);
                mCrashes.recordCrash(contentHash, faulty.notice().id(), nowNanos);
                if (outcome == PlacementOutcome.BROKEN && faulty == primary) {
                    primaryPart.ifPresent(part -> mAttribution.brokenOff(primary, part, nowNanos));
                }
            }
            case UNPROVEN -> faulty.health().recordLostAnswer(nowNanos);
            case CANCELLED -> {}
        }
        if (mayStillRun(outcome)) {
            upstreams.forEach(upstream -> closeMemory(upstream, key, nowNanos));
        }
        upstreams.forEach(upstream -> upstream.ended(key, nowNanos));
    }

    /** Returns whether an upstream may go on with a request until it notices its end. */
    private static boolean mayStillRun(PlacementOutcome outcome) {
        return switch (outcome) {
            case BROKEN, SILENT, UNPROVEN, CANCELLED -> true;
            case ANSWERED, UPSTREAM_ERROR, NOT_CONNECTED, FULL, MISDIRECTED -> false;
        };
    }

    private static void closeMemory(PlacementUpstream upstream, PlacementKey key, long nowNanos) {
        UpstreamMemory memory = upstream.memory();
        if (memory != null) {
            upstream.find(key).ifPresent(part -> memory.close(part, nowNanos));
        }
    }

    /** Returns the upstreams that have ceased to name a limit since the last call. */
    List<UpstreamId> drainLiftedLimits() {
        if (mLiftedLimits.isEmpty()) {
            return List.of();
        }
        List<UpstreamId> lifted = List.copyOf(mLiftedLimits);
        mLiftedLimits.clear();
        return lifted;
    }

    private void learnLength(PlacementUpstream upstream, PlacedPart part) {
        UpstreamMemory memory = upstream.memory();
        Optional<EngineCost> cost = mServices.engineCost(upstream.notice().service());
        if (memory != null && cost.isPresent()) {
            memory.answered(part, cost.get());
        }
    }

    private void liftLimit(PlacementUpstream upstream, PlacedPart part) {
        if (upstream.liftLimit(part.grantedNanos())) {
            mLiftedLimits.add(upstream.notice().id());
        }
    }

    /** Ends all placements of an instance that is no longer reachable. */
    void removeOwner(InstanceId owner, long nowNanos) {
        mNewOwners.remove(owner);
        List<PlacementKey> orphaned =
                mPlacements.keySet().stream().filter(key -> key.owner().equals(owner)).toList();
        orphaned.forEach(key -> ended(key, PlacementOutcome.CANCELLED, "", nowNanos));
    }
}
