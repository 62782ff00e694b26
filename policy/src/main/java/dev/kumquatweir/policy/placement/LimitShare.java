package dev.kumquatweir.policy.placement;

/** The part of an upstream's limit that one scheduler may use. */
sealed interface LimitShare {
    /** All of it: the scheduler sees the requests of all instances. */
    record Whole() implements LimitShare {}

    /**
     * A part, since several instances place requests without coordination.
     *
     * @param instances number of such instances
     * @param phase differs between instances, 0 to 1
     */
    record Part(int instances, double phase) implements LimitShare {
        /**
         * Share of the limit that all such instances use together. The rest covers instances that
         * still place through a leader.
         */
        static final double USED_SHARE = 0.5;
    }

    /** Returns the requests per second of a limit that the scheduler may use. */
    default double perSecond(double limit) {
        return switch (this) {
            case Whole _ -> limit;
            case Part part -> limit * Part.USED_SHARE / part.instances();
        };
    }
}
