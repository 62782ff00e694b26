package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.EngineCost;
import java.util.ArrayList;
import java.util.List;

/** Decides how much of the KV cache of an engine a placement may use. Stateless. */
final class EngineMemory {
    /**
     * Largest share of an engine's memory that is allocated. Outputs may be longer than expected.
     */
    private static final double MEMORY_SHARE = 0.95;

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
            PlacementRequest request, EngineCost cost, List<PartEstimate> parts) {
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

    private static long freeTokens(PartEstimate part, EngineCost cost) {
        return (long) (MEMORY_SHARE * cost.kvCacheTokens()) - part.upstream().memoryTokens();
    }
}
