package dev.kumquatweir.policy.oversize;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/** A prompt and its answer over several engines, with equal shares of memory. Holds no state. */
public final class EqualShares {
    /** Engines at most that share one prompt. */
    public static final int MAXIMUM_PARTS = 4;

    private EqualShares() {}

    /** Returns the memory that each of several engines gives to one prompt. */
    public static long shareTokens(long memoryTokens, int parts) {
        return (memoryTokens + parts - 1) / parts;
    }

    /**
     * Returns whether a share has room for the whole answer, which stays on the last engine, and at
     * least one token of the prompt there.
     */
    public static boolean fitsAnswer(long shareTokens, long outputTokens, int parts) {
        return shareTokens >= outputTokens + parts;
    }

    /** Returns whether engines that hold nothing else have the memory together. */
    public static boolean canHold(
            Collection<Long> engineTokens, long memoryTokens, long outputTokens) {
        List<Long> largest = largest(engineTokens);
        return partCounts(largest)
                .anyMatch(
                        parts -> {
                            long share = shareTokens(memoryTokens, parts);
                            return share <= largest.get(parts - 1)
                                    && fitsAnswer(share, outputTokens, parts);
                        });
    }

    /** Returns the most memory that engines have together for a prompt and its answer. */
    public static long capacityTokens(Collection<Long> engineTokens, long outputTokens) {
        List<Long> largest = largest(engineTokens);
        return partCounts(largest)
                .filter(parts -> fitsAnswer(largest.get(parts - 1), outputTokens, parts))
                .mapToLong(parts -> parts * largest.get(parts - 1))
                .max()
                .orElse(0);
    }

    private static List<Long> largest(Collection<Long> engineTokens) {
        return engineTokens.stream()
                .sorted(Comparator.reverseOrder())
                .limit(MAXIMUM_PARTS)
                .toList();
    }

    private static IntStream partCounts(List<Long> largest) {
        return IntStream.rangeClosed(2, largest.size());
    }
}
