package dev.kumquatweir.policy.placement;

/** Optional parts of the scheduler that settings switch on. Immutable. */
public final class SchedulerFeatures {
    /** All optional parts switched off. */
    public static final SchedulerFeatures NONE = builder().build();

    private final Builder mValues;

    private SchedulerFeatures(Builder values) {
        mValues = values;
    }

    /** Returns a builder with all optional parts switched off. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds the features. Not thread-safe. */
    public static final class Builder {
        private boolean mTeamSharing;
        private boolean mLearnedCosts;
        private boolean mDomainBalance;
        private double mMemoryConfidence;

        private Builder() {}

        /** Sets whether teams share scarce upstreams in proportion to their weights. */
        public Builder teamSharing(boolean value) {
            mTeamSharing = value;
            return this;
        }

        /** Sets whether the cost of requests is learned from their answers. */
        public Builder learnedCosts(boolean value) {
            mLearnedCosts = value;
            return this;
        }

        /** Sets whether placements weigh the time of crossing between failure domains. */
        public Builder domainBalance(boolean value) {
            mDomainBalance = value;
            return this;
        }

        /**
         * Sets the probability with which the requests on an engine have to fit into its memory.
         *
         * @param value 0 to 1; 0 to use the expected output without a margin for longer ones
         */
        public Builder memoryConfidence(double value) {
            mMemoryConfidence = value;
            return this;
        }

        /** Returns the features. The builder must not be used afterwards. */
        public SchedulerFeatures build() {
            return new SchedulerFeatures(this);
        }
    }

    /** Returns whether teams share scarce upstreams in proportion to their weights. */
    public boolean teamSharing() {
        return mValues.mTeamSharing;
    }

    /** Returns whether the cost of requests is learned from their answers. */
    public boolean learnedCosts() {
        return mValues.mLearnedCosts;
    }

    /** Returns whether placements weigh the time of crossing between failure domains. */
    public boolean domainBalance() {
        return mValues.mDomainBalance;
    }

    /** Returns the probability with which requests have to fit into memory, 0 for no margin. */
    public double memoryConfidence() {
        return mValues.mMemoryConfidence;
    }
}
