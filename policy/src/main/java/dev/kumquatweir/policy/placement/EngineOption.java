package dev.kumquatweir.policy.placement;

import java.util.List;

/**
 * One way to place a generation.
 *
 * @param primary the engine that answers
 * @param parts what each engine reads, the primary first
 * @param reservedTokens tokens that the engine of the same place in {@code parts} holds for the
 *     primary; 0 for the primary itself
 * @param firstNanos when the first event is expected
 * @param harm value that requests on the engines would lose
 * @param displaced value of the work that the engines could not do meanwhile
 * @param score value gained less what it costs, higher is better
 */
record EngineOption(
        PlacementUpstream primary,
        List<EnginePart> parts,
        List<Long> reservedTokens,
        long firstNanos,
        double harm,
        double displaced,
        double score) {}
