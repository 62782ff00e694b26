package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.policy.locality.PromptSizes;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Selects the engines that one of several standalone instances compares for a request. Load
 * pattern: many instances lose the leader together, and each knows only its own placements.
 *
 * <p>The prefill of a long prompt delays the answers of other instances' requests, of which an
 * instance knows nothing. The instances therefore agree without messages on which engines of each
 * domain take long, middle and short prompts: the order of the engines follows from their ids.
 * Short prompts take the better of two random engines of their own domain, others a random order.
 * Not thread-safe.
 */
final class StandaloneCandidates {
    /** Shares of the engines that take long and middle prompts, if there are any. */
    private static final double LONG_SHARE = 0.33;

    private static final double MIDDLE_SHARE = 0.2;

    /**
     * Prefill time from which on a prompt is long: also split over the maximum of 16 engines, each
     * part delays short answers by more than a usual gap target.
     */
    private static final double LONG_PREFILL_MILLIS = 1_000;

    /** Pending prefill that weighs as much as one request in a slot. */
    private static final double PREFILL_MILLIS_PER_REQUEST = 100;

    private final PromptSizes mSizes;
    private final Random mRandom;

    /** The kind of a prompt by its prefill time. */
    private enum Kind {
        LONG,
        MIDDLE,
        SHORT
    }

    /**
     * Creates a selection.
     *
     * @param sizes sizes of the prompts that this instance has placed lately
     * @param seed different for each instance, so that they do not all choose the same engines
     */
    StandaloneCandidates(PromptSizes sizes, int seed) {
        mSizes = sizes;
        mRandom = new Random(seed);
    }

    /** Returns the engines to compare; empty only if none is eligible. */
    List<PlacementUpstream> select(
            PlacementRequest request,
            EngineCost cost,
            List<PlacementUpstream> eligible,
            long nowNanos) {
        Kind kind = kind(request.promptTokens(), cost);
        mSizes.record(request.promptTokens(), nowNanos);
        double longShare = contains(Kind.LONG, cost, nowNanos) ? LONG_SHARE : 0;
        double middleShare = contains(Kind.MIDDLE, cost, nowNanos) ? MIDDLE_SHARE : 0;
        List<PlacementUpstream> selected = new ArrayList<>();
        for (List<PlacementUpstream> engines : byDomain(eligible).values()) {
            int middleFrom = (int) Math.round(longShare * engines.size());
            int shortFrom = (int) Math.round((longShare + middleShare) * engines.size());
            selected.addAll(
                    switch (kind) {
                        case LONG -> engines.subList(0, middleFrom);
                        case MIDDLE -> engines.subList(middleFrom, shortFrom);
                        case SHORT -> engines.subList(shortFrom, engines.size());
                    });
        }
        List<PlacementUpstream> free = withFreeSlot(selected, nowNanos);
        if (free.isEmpty()) {
            return eligible;
        }
        if (kind != Kind.SHORT) {
            Collections.shuffle(selected, mRandom);
            return selected;
        }
        List<PlacementUpstream> own =
                free.stream().filter(upstream -> upstream.sharesDomain(request)).toList();
        return List.of(betterOfTwo(own.isEmpty() ? free : own, nowNanos));
    }

    private boolean contains(Kind kind, EngineCost cost, long nowNanos) {
        return mSizes.contains(tokens -> kind(tokens, cost) == kind, nowNanos);
    }

    private static Kind kind(long promptTokens, EngineCost cost) {
        double prefillMillis = cost.prefillMillis(promptTokens);
        if (prefillMillis >= LONG_PREFILL_MILLIS) {
            return Kind.LONG;
        }
        return prefillMillis < EngineChooser.MINIMUM_SPLIT_MILLIS ? Kind.SHORT : Kind.MIDDLE;
    }

    private PlacementUpstream betterOfTwo(List<PlacementUpstream> engines, long nowNanos) {
        PlacementUpstream first = engines.get(mRandom.nextInt(engines.size()));
        PlacementUpstream second = engines.get(mRandom.nextInt(engines.size()));
        return load(second, nowNanos) < load(first, nowNanos) ? second : first;
    }

    /** Returns the load as far as this instance knows it, in requests. */
    private static double load(PlacementUpstream upstream, long nowNanos) {
        return (1 + upstream.primaryCount()) * upstream.health().slowdown(nowNanos)
                + upstream.pendingPrefillMillis(nowNanos) / PREFILL_MILLIS_PER_REQUEST;
    }

    private static List<PlacementUpstream> withFreeSlot(
            List<PlacementUpstream> engines, long nowNanos) {
        return engines.stream()
                .filter(
                        upstream ->
                                upstream.primaryCount()
                                        < upstream.availableSlots(
                                                upstream.notice().slots(), nowNanos))
                .toList();
    }

    /** Groups engines by domain, each in an order that is the same on all instances. */
    private static Map<FailureDomain, List<PlacementUpstream>> byDomain(
            List<PlacementUpstream> engines) {
        Map<FailureDomain, List<PlacementUpstream>> grouped = new HashMap<>();
        for (PlacementUpstream upstream : engines) {
            grouped.computeIfAbsent(upstream.notice().domain(), key -> new ArrayList<>())
                    .add(upstream);
        }
        grouped.values()
                .forEach(
                        group ->
                                group.sort(
                                        Comparator.comparingDouble(
                                                StandaloneCandidates::commonOrder)));
        return grouped;
    }

    private static double commonOrder(PlacementUpstream upstream) {
        return PlacementUpstreams.hashToUnitInterval(upstream.notice().id().hashCode());
    }
}
