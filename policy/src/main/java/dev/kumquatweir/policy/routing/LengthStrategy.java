package dev.kumquatweir.policy.routing;

/**
 * Strategy against head-of-line blocking of short prompts by long ones. A strategy assigns a lane
 * to each engine and decides which prompts may use an engine of another lane. Implementations are
 * immutable.
 */
public sealed interface LengthStrategy {
    /** The class of prompts for which an engine is used. */
    enum Lane {
        /** All prompts; priorities within the engine separate them. */
        MIXED,
        /** Short prompts. */
        SHORT,
        /** Long prompts. */
        LONG
    }

    /**
     * Returns the lane of one engine.
     *
     * @param rank index of the engine in its pool, from 0; successive ranks alternate between
     *     failure domains
     * @param engines number of engines in the pool
     */
    Lane lane(int rank, int engines);

    /**
     * Returns whether a prompt may use an engine of another lane when the engines of its own lane
     * are busy.
     *
     * @param length class of the prompt
     * @param prefillTokens tokens that the engine would have to process
     * @param occupancy share of the engine's slots in use, from 0 to 1
     */
    boolean mayBorrow(LengthClass length, long prefillTokens, double occupancy);

    /** Every engine takes every prompt; only priorities within the engine favour short ones. */
    record PriorityOnly() implements LengthStrategy {
        @Override
        public Lane lane(int rank, int engines) {
            return Lane.MIXED;
        }

        @Override
        public boolean mayBorrow(LengthClass length, long prefillTokens, double occupancy) {
            return false;
        }
    }

    /**
     * Reserves a share of the engines for short prompts; the others take every prompt.
     *
     * @param shortShare share of the engines reserved for short prompts, 0 to 1
     */
    record ReservedShare(double shortShare) implements LengthStrategy {
        @Override
        public Lane lane(int rank, int engines) {
            return rank < shortEngines(shortShare, engines) ? Lane.SHORT : Lane.MIXED;
        }

        @Override
        public boolean mayBorrow(LengthClass length, long prefillTokens, double occupancy) {
            return false;
        }
    }

    /**
     * Assigns separate engines to short and long prompts. Short prompts may borrow any engine; long
     * prompts may borrow an engine for short ones only while it is nearly idle and their prefill is
     * brief.
     *
     * @param shortShare share of the engines for short prompts, 0 to 1
     * @param maximumBorrowTokens longest prefill of a long prompt on a borrowed engine, in tokens
     * @param maximumBorrowOccupancy highest occupancy at which an engine for short prompts may be
     *     borrowed
     */
    record LengthSeparation(
            double shortShare, long maximumBorrowTokens, double maximumBorrowOccupancy)
            implements LengthStrategy {
        @Override
        public Lane lane(int rank, int engines) {
            return rank < shortEngines(shortShare, engines) ? Lane.SHORT : Lane.LONG;
        }

        @Override
        public boolean mayBorrow(LengthClass length, long prefillTokens, double occupancy) {
            return length == LengthClass.SHORT
                    || (prefillTokens <= maximumBorrowTokens
                            && occupancy <= maximumBorrowOccupancy);
        }
    }

    private static long shortEngines(double share, int engines) {
        long wanted = Math.max(1, Math.round(share * engines));
        return Math.min(wanted, engines - 1);
    }
}
