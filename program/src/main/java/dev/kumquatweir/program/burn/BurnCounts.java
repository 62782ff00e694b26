package dev.kumquatweir.program.burn;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Sums over a span of time. Immutable.
 *
 * @param values one number for each {@link BurnCount}, by position
 */
public record BurnCounts(List<Long> values) {
    /** Nothing was counted. */
    public static final BurnCounts NONE =
            new BurnCounts(Collections.nCopies(BurnCount.values().length, 0L));

    /** Copies the list; numbers that are missing at the end are 0. */
    public BurnCounts {
        List<Long> given = List.copyOf(values);
        values =
                IntStream.range(0, BurnCount.values().length)
                        .mapToObj(
                                index -> index < given.size() ? given.get(index) : Long.valueOf(0))
                        .toList();
    }

    static BurnCounts of(int[] numbers) {
        return new BurnCounts(Arrays.stream(numbers).asLongStream().boxed().toList());
    }

    /** Returns one number. */
    public long get(BurnCount count) {
        return values.get(count.position());
    }

    /** Returns the sum of two. */
    public BurnCounts plus(BurnCounts other) {
        return new BurnCounts(
                IntStream.range(0, values.size())
                        .mapToObj(index -> values.get(index) + other.values.get(index))
                        .toList());
    }

    /** Returns how many admitted requests did not finish in time, callers that left aside. */
    public long objectiveViolations() {
        return get(BurnCount.LATE) + get(BurnCount.FAILED) + get(BurnCount.LOST);
    }

    /**
     * Returns how many times as fast as the objective allows its budget is used up: 1 is just
     * within the objective, 0 if nothing ended.
     *
     * @param inTimeShare share of requests that are to finish in time, 0 to 1
     */
    public double burnRate(double inTimeShare) {
        return burnRateOf(objectiveViolations(), get(BurnCount.IN_TIME), inTimeShare);
    }

    /**
     * Returns the same for the bound on the time to first token.
     *
     * @param firstTokenShare share of requests that are to meet the bound, 0 to 1
     */
    public double firstTokenBurnRate(double firstTokenShare) {
        return burnRateOf(
                get(BurnCount.FIRST_TOKEN_LATE),
                get(BurnCount.FIRST_TOKEN_IN_BOUND),
                firstTokenShare);
    }

    private static double burnRateOf(long bad, long good, double share) {
        if (bad == 0) {
            return 0;
        }
        double budget = 1 - share;
        double badShare = (double) bad / (bad + good);
        return budget > 0 ? badShare / budget : Double.MAX_VALUE;
    }
}
