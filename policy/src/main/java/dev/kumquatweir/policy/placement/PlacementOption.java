package dev.kumquatweir.policy.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * A candidate placement of one generation.
 *
 * @param primary the engine that generates the answer
 * @param parts estimates for the engines that share the prefill, the primary first
 * @param reservedTokens KV cache tokens that the engine at the same index in {@code parts} reserves
 *     for the primary; 0 for the primary itself
 * @param firstEventNanos expected time of the first event
 * @param lostValue value that other requests on the engines would lose by delays
 * @param displacedValue value of the work that the engines could do instead of the prefill
 * @param score value gained less its costs; higher is better
 */
record PlacementOption(
        PlacementUpstream primary,
        List<PartEstimate> parts,
        List<Long> reservedTokens,
        long firstEventNanos,
        double lostValue,
        double displacedValue,
        double score) {

    /** Returns what each engine processes, in the order of {@code parts}. */
    List<PlacedPart> placedParts(PlacementRequest request, long nowNanos) {
        long reserved = reservedTokens.stream().mapToLong(Long::longValue).sum();
        List<PlacedPart> placedParts = new ArrayList<>();
        for (int index = 0; index < parts.size(); index++) {
            boolean isPrimary = index == 0;
            placedParts.add(
                    new PlacedPart(
                                    request,
                                    isPrimary,
                                    parts.get(index).prefillMillis(),
                                    isPrimary
                                            ? request.memoryTokens() - reserved
                                            : reservedTokens.get(index),
                                    nowNanos,
                                    firstEventNanos)
                            .withPromptTokens(request.promptTokens() / parts.size()));
        }
        return placedParts;
    }
}
