package dev.kumquatweir.policy.routing;

/**
 * How short prompts are kept from waiting behind long ones. A strategy gives each engine a lane and
 * says which prompts may use an engine of another lane. Implementations are immutable.
 */
public sealed interface LengthStrategy {
    /** Which prompts an engine is meant for. */
    enum Lane {
        /** All prompts; the engine's priorities keep them apart. */
        MIXED,
        /** Short prompts. */
        SHORT,
        /** Long prompts. */
        LONG
    }

    /**
     * Returns the lane of one engine.
     *
     * @param rank place of the engine among those of its pool, from 0, spread over domains
     * @param engines number of engines in the pool
     */
    Lane lane(int rank, int engines);

    /**
     * Returns whether a prompt of one class may borrow an engine of another lane when its own
     * engines are busy.
     *
     * @param length class of the prompt
     * @param prefillTokens tokens that the engine would have to process
     * @param occupancy share of the engine's running slots in use, from 0 to 1
     */
    boolean mayBorrow(LengthClass length, long prefillTokens, double occupancy);

    /** Every engine takes every prompt, and only the engine's priorities keep short ones fast. */
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
     * A share of the engines takes short prompts only; the others take every prompt.
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
     * Short and long prompts have engines of their own. Short prompts may borrow any engine; long
     * ones may borrow an engine for short prompts while it is nearly idle and the loan is brief.
     *
     * @param shortShare share of the engines for short prompts, 0 to 1
     * @param loanTokens longest prefill for which a long prompt may borrow
     * @param loanOccupancy occupancy up to which an engine for short prompts is lent
     */
    record LengthSeparation(double shortShare, long loanTokens, double loanOccupancy)
            implements LengthStrategy {
        @Override
        public Lane lane(int rank, int engines) {
            return rank < shortEngines(shortShare, engines) ? Lane.SHORT : Lane.LONG;
        }

        @Override
        public boolean mayBorrow(LengthClass length, long prefillTokens, double occupancy) {
            return length == LengthClass.SHORT
                    || (prefillTokens <= loanTokens && occupancy <= loanOccupancy);
        }
    }

    private static long shortEngines(double share, int engines) {
        long wanted = Math.max(1, Math.round(share * engines));
        return Math.min(wanted, engines - 1);
    }
}
