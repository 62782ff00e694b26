package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.EngineCost;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides how much of the KV cache of an engine a placement may use. With a forecast of its memory,
 * a placement may not let the forecast exceed it; otherwise expected lengths are added up.
 * Stateless.
 */
final class EngineMemory {
    /**
     * Largest share of an engine's memory that is allocated. Outputs may be longer than expected.
     */
    private static final double MEMORY_SHARE = 0.95;

    /**
     * Part of the value of a request that placing it on an engine with tight memory costs. Less
     * than packing gains.
     */
    private static final double TIGHTNESS_WEIGHT = 0.05;

    private EngineMemory() {}

    /** Returns whether the request needs the memory of more than one engine. */
    static boolean exceedsOneEngine(PlacementRequest request, EngineCost cost) {
        return request.memoryTokens() > MEMORY_SHARE * cost.kvCacheTokens();
    }

    /**
     * Returns the tokens to reserve on each engine for the primary: all 0 if the primary has memory
     * for the whole request, an empty list if the engines together lack memory.
     */
    static List<Long> reservations(
            PlacementRequest request, EngineCost cost, List<PartEstimate> parts, long nowNanos) {
        UpstreamMemory primary = parts.get(0).upstream().memory();
        if (primary != null) {
            return forecastReservations(request, cost, primary, parts, nowNanos);
        }
        long missingTokens = request.memoryTokens() - freeTokens(parts.get(0), cost);
        List<Long> reserved = new ArrayList<>();
        reserved.add(0L);
        for (PartEstimate helper : parts.subList(1, parts.size())) {
            long reservable = Math.max(0, Math.min(missingTokens, freeTokens(helper, cost)));
            reserved.add(reservable);
            missingTokens -= reservable;
        }
        return missingTokens <= 0 ? reserved : List.of();
    }

    /** Returns whether an engine has memory for a part of a prompt. */
    static boolean hasMemoryForPart(
            PlacementUpstream upstream, EngineCost cost, long partTokens, long nowNanos) {
        UpstreamMemory memory = upstream.memory();
        return memory == null || helperTokens(memory, upstream, cost, nowNanos) >= partTokens;
    }

    /** Returns the value lost by using memory that is short; less where memory is free soon. */
    static double tightnessLoss(
            PlacementRequest request, EngineCost cost, PlacementUpstream primary) {
        UpstreamMemory memory = primary.memory();
        return memory == null
                ? 0
                : TIGHTNESS_WEIGHT * request.value() * memory.tightness(request, cost);
    }

    private static List<Long> forecastReservations(
            PlacementRequest request,
            EngineCost cost,
            UpstreamMemory primary,
            List<PartEstimate> parts,
            long nowNanos) {
        primary.update(cost, parts.get(0).upstream().decodingCount(), nowNanos);
        double missingTokens = primary.missingTokens(request, cost, nowNanos);
        long partTokens = request.promptTokens() / parts.size();
        List<Long> reserved = new ArrayList<>();
        reserved.add(0L);
        for (PartEstimate helper : parts.subList(1, parts.size())) {
            UpstreamMemory memory = helper.upstream().memory();
            double freeTokens =
                    memory == null
                            ? freeTokens(helper, cost)
                            : helperTokens(memory, helper.upstream(), cost, nowNanos);
            if (freeTokens < partTokens) {
                return List.of();
            }
            // Rounded up against the need of the primary, and down against the free memory.
            long reservable =
                    (long) Math.max(0, Math.min(Math.ceil(missingTokens), freeTokens - partTokens));
            reserved.add(reservable);
            missingTokens -= reservable;
        }
        if (missingTokens > 0) {
            primary.countPassedOver();
            return List.of();
        }
        return reserved;
    }

    private static double helperTokens(
            UpstreamMemory memory, PlacementUpstream upstream, EngineCost cost, long nowNanos) {
        memory.update(cost, upstream.decodingCount(), nowNanos);
        return memory.helperTokens(cost, nowNanos);
    }

    private static long freeTokens(PartEstimate part, EngineCost cost) {
        return (long) (MEMORY_SHARE * cost.kvCacheTokens()) - part.upstream().memoryTokens();
    }
}
