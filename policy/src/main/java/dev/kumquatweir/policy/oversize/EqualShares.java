package dev.kumquatweir.policy.oversize;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Computes how a prompt and its answer are split over several engines with equal shares of memory.
 * All amounts are in tokens. Holds no state.
 */
public final class EqualShares {
    /** Maximum number of engines that share one prompt. */
    public static final int MAXIMUM_PARTS = 4;

    private EqualShares() {}

    /** Returns the memory that one prompt takes on each of its engines. */
    public static long shareTokens(long memoryTokens, int parts) {
        return (memoryTokens + parts - 1) / parts;
    }

    /**
     * Returns whether a share is large enough for the last engine, which holds the whole answer and
     * at least one token of the prompt.
     */
    public static boolean fitsAnswer(long shareTokens, long outputTokens, int parts) {
        return shareTokens >= outputTokens + parts;
    }

    /** Returns whether engines without any other load can hold a prompt and its answer. */
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

    /**
     * Returns the largest memory of a prompt and its answer that engines without any other load can
     * hold together, 0 if they cannot hold the answer.
     */
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
