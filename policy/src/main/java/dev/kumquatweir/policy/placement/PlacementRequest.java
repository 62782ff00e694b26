package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A request to place on an upstream. Times refer to the clock of the scheduler that decides.
 * Immutable.
 */
public final class PlacementRequest {
    /** Prompt tokens that have the same value as one call of a plain service. */
    private static final double TOKENS_PER_CALL = 16_000;

    /** Decoding one token takes about as long as the prefill of ten. */
    private static final double OUTPUT_TOKEN_WEIGHT = 10;

    private final Builder mValues;
    private final long mTargetNanos;
    private final double mValue;

    private PlacementRequest(Builder values, long targetNanos) {
        mValues = values;
        mTargetNanos = targetNanos;
        double tokens = values.mPromptTokens + OUTPUT_TOKEN_WEIGHT * values.mOutputTokens;
        mValue = values.mPromptTokens > 0 ? tokens / TOKENS_PER_CALL : 1;
    }

    /** Returns the value of generating output tokens, in calls of a plain service. */
    static double outputValue(double tokens) {
        return OUTPUT_TOKEN_WEIGHT * tokens / TOKENS_PER_CALL;
    }

    // Configuration.

    /**
     * Returns a builder.
     *
     * @param key key of the placement
     * @param requestId identifier of the request, for logs
     * @param service service whose upstreams may run it
     */
    public static Builder builder(PlacementKey key, String requestId, ServiceName service) {
        return new Builder(key, requestId, service);
    }

    /** Builds a request. Not thread-safe. */
    public static final class Builder {
        private final PlacementKey mKey;
        private final String mRequestId;
        private final ServiceName mService;
        private String mContentHash = "";
        private List<String> mSharedParts = List.of();
        private long mTargetNanos;
        private long mLatestStartNanos;
        private long mDeadlineNanos;
        private long mPromptTokens;
        private long mOutputTokens;
        private long mTargetGapMillis;
        private int mPriority;
        private boolean mRetry;
        private @Nullable FailureDomain mDomain;
        private Set<UpstreamId> mExcluded = Set.of();
        private String mTeam = "";
        private String mRoute = "";
        private long mOutputLimitTokens;
        private long mOutputHintTokens;

        private Builder(PlacementKey key, String requestId, ServiceName service) {
            mKey = key;
            mRequestId = requestId;
            mService = service;
        }

        /** Sets a hash of the content; equal contents have equal hashes. */
        public Builder contentHash(String value) {
            mContentHash = value;
            return this;
        }

        /** Sets the ids of the parts of the prompt that other requests may share. */
        public Builder sharedParts(List<String> value) {
            mSharedParts = List.copyOf(value);
            return this;
        }

        /**
         * Sets the time limits.
         *
         * @param targetNanos time until which the answer, or the first event of a stream, is on
         *     time
         * @param latestStartNanos time after which the caller gives up if nothing has arrived
         * @param deadlineNanos time after which the complete answer has no value
         */
        public Builder times(long targetNanos, long latestStartNanos, long deadlineNanos) {
            mTargetNanos = targetNanos;
            mLatestStartNanos = Math.min(latestStartNanos, deadlineNanos);
            mDeadlineNanos = deadlineNanos;
            return this;
        }

        /**
         * Sets the size and the gap target of a generation.
         *
         * @param promptTokens length of the prompt, 0 for a call of a plain service
         * @param outputTokens expected length of the answer
         * @param targetGapMillis longest gap between two events that is on time, 0 for no limit
         */
        public Builder generation(long promptTokens, long outputTokens, long targetGapMillis) {
            mPromptTokens = promptTokens;
            mOutputTokens = outputTokens;
            mTargetGapMillis = targetGapMillis;
            return this;
        }

        /**
         * Sets the failure domain of the caller's instance. Among equal upstreams, those in this
         * domain are preferred.
         */
        public Builder domain(FailureDomain value) {
            mDomain = value;
            return this;
        }

        /**
         * Sets who sent the request and on which route. Both are empty if they are not known, as
         * with requests from instances of an earlier version.
         */
        public Builder origin(String team, String route) {
            mTeam = team;
            mRoute = route;
            return this;
        }

        /**
         * Sets what the caller says about the length of the answer.
         *
         * @param limitTokens most output tokens that it allows, 0 if it names no limit
         * @param hintTokens its estimate of the output tokens, 0 if it gives none
         */
        public Builder output(long limitTokens, long hintTokens) {
            mOutputLimitTokens = limitTokens;
            mOutputHintTokens = hintTokens;
            return this;
        }

        /** Sets the priority; 0 is served first. */
        public Builder priority(int value) {
            mPriority = value;
            return this;
        }

        /**
         * Sets the upstreams that previous attempts used.
         *
         * @param excluded upstreams that must not get the request again
         * @param retry whether the request was sent to one of them
         */
        public Builder previousAttempts(Set<UpstreamId> excluded, boolean retry) {
            mExcluded = Set.copyOf(excluded);
            mRetry = retry;
            return this;
        }

        private Builder copy() {
            Builder copy = new Builder(mKey, mRequestId, mService);
            copy.mContentHash = mContentHash;
            copy.mSharedParts = mSharedParts;
            copy.mTargetNanos = mTargetNanos;
            copy.mLatestStartNanos = mLatestStartNanos;
            copy.mDeadlineNanos = mDeadlineNanos;
            copy.mPromptTokens = mPromptTokens;
            copy.mOutputTokens = mOutputTokens;
            copy.mTargetGapMillis = mTargetGapMillis;
            copy.mPriority = mPriority;
            copy.mRetry = mRetry;
            copy.mDomain = mDomain;
            copy.mExcluded = mExcluded;
            copy.mTeam = mTeam;
            copy.mRoute = mRoute;
            copy.mOutputLimitTokens = mOutputLimitTokens;
            copy.mOutputHintTokens = mOutputHintTokens;
            return copy;
        }

        /** Returns the request. The builder must not be used afterwards. */
        public PlacementRequest build() {
            return new PlacementRequest(this, mTargetNanos);
        }
    }

    /** Returns the same request with another expected output. */
    PlacementRequest withOutputTokens(long outputTokens) {
        Builder copy = mValues.copy();
        copy.mOutputTokens = outputTokens;
        return copy.build();
    }

    // Public API.

    /** Returns the key of the placement. */
    public PlacementKey key() {
        return mValues.mKey;
    }

    /** Returns the identifier of the request. */
    public String requestId() {
        return mValues.mRequestId;
    }

    /** Returns the service whose upstreams may run it. */
    public ServiceName service() {
        return mValues.mService;
    }

    /** Returns the hash of the content, an empty string if it has none. */
    public String contentHash() {
        return mValues.mContentHash;
    }

    /** Returns the ids of the parts of the prompt that other requests may share, in order. */
    public List<String> sharedParts() {
        return mValues.mSharedParts;
    }

    /** Returns the time until which the answer, or the first event of a stream, is on time. */
    public long targetNanos() {
        return mTargetNanos;
    }

    /** Returns the same request with another target. */
    PlacementRequest withTargetNanos(long targetNanos) {
        return new PlacementRequest(mValues, targetNanos);
    }

    /** Returns the time after which the caller gives up if nothing has arrived. */
    public long latestStartNanos() {
        return mValues.mLatestStartNanos;
    }

    /** Returns the time after which the complete answer has no value. */
    public long deadlineNanos() {
        return mValues.mDeadlineNanos;
    }

    /** Returns the length of the prompt, 0 for a call of a plain service. */
    public long promptTokens() {
        return mValues.mPromptTokens;
    }

    /** Returns the expected length of the answer. */
    public long outputTokens() {
        return mValues.mOutputTokens;
    }

    /** Returns the name of the caller's team, empty if it is not known. */
    public String team() {
        return mValues.mTeam;
    }

    /** Returns the name of the route, empty if it is not known. */
    public String route() {
        return mValues.mRoute;
    }

    /** Returns the most output tokens that the caller allows, 0 if it names no limit. */
    public long outputLimitTokens() {
        return mValues.mOutputLimitTokens;
    }

    /** Returns the caller's estimate of the output tokens, 0 if it gives none. */
    public long outputHintTokens() {
        return mValues.mOutputHintTokens;
    }

    /** Returns the longest gap between two events that is on time, 0 for no limit. */
    public long targetGapMillis() {
        return mValues.mTargetGapMillis;
    }

    /** Returns the failure domain of the caller's instance, if it is known. */
    public Optional<FailureDomain> domain() {
        return Optional.ofNullable(mValues.mDomain);
    }

    /** Returns the priority; 0 is served first. */
    public int priority() {
        return mValues.mPriority;
    }

    /** Returns whether an earlier attempt sent the request to an upstream. */
    public boolean retry() {
        return mValues.mRetry;
    }

    /** Returns the upstreams that must not get the request. */
    public Set<UpstreamId> excluded() {
        return mValues.mExcluded;
    }

    /** Returns the value of serving the request on time, in calls of a plain service. */
    public double value() {
        return mValue;
    }

    /** Returns the KV cache tokens that the request occupies when it ends. */
    public long memoryTokens() {
        return mValues.mPromptTokens + mValues.mOutputTokens;
    }
}
