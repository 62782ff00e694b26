package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A request that needs an upstream. Times are of the clock of whoever decides. Immutable. */
public final class PlacementRequest {
    /** Tokens of work that weigh as much as one call of a plain service. */
    private static final double TOKENS_PER_VALUE = 16_000;

    /** Decoding a token takes about as long as reading ten. */
    private static final double OUTPUT_WEIGHT = 10;

    private final Builder mValues;
    private final double mValue;

    private PlacementRequest(Builder values) {
        mValues = values;
        double tokens = values.mPromptTokens + OUTPUT_WEIGHT * values.mOutputTokens;
        mValue = values.mPromptTokens > 0 ? tokens / TOKENS_PER_VALUE : 1;
    }

    /** Returns what writing tokens is worth, in calls of a plain service. */
    static double outputValue(double tokens) {
        return OUTPUT_WEIGHT * tokens / TOKENS_PER_VALUE;
    }

    // Configuration.

    /**
     * Starts a request.
     *
     * @param key names the placement
     * @param requestId the request's id, for logs
     * @param service service that has to run it
     */
    public static Builder builder(PlacementKey key, String requestId, ServiceName service) {
        return new Builder(key, requestId, service);
    }

    /** Collects the values of a request. Not thread-safe. */
    public static final class Builder {
        private final PlacementKey mKey;
        private final String mRequestId;
        private final ServiceName mService;
        private String mContentHash = "";
        private long mTargetNanos;
        private long mLatestNanos;
        private long mDeadlineNanos;
        private long mPromptTokens;
        private long mOutputTokens;
        private long mTargetGapMillis;
        private int mPriority;
        private boolean mRepeat;
        private @Nullable FailureDomain mDomain;
        private Set<UpstreamId> mExcluded = Set.of();

        private Builder(PlacementKey key, String requestId, ServiceName service) {
            mKey = key;
            mRequestId = requestId;
            mService = service;
        }

        /** Sets a hash that is the same whenever a caller sends the same content. */
        public Builder contentHash(String value) {
            mContentHash = value;
            return this;
        }

        /**
         * Sets the times.
         *
         * @param targetNanos the answer, or the first event of a stream, is on time until then
         * @param latestNanos the caller leaves if nothing has come until then
         * @param deadlineNanos the whole answer is worth nothing after this time
         */
        public Builder times(long targetNanos, long latestNanos, long deadlineNanos) {
            mTargetNanos = targetNanos;
            mLatestNanos = Math.min(latestNanos, deadlineNanos);
            mDeadlineNanos = deadlineNanos;
            return this;
        }

        /**
         * Sets the work of a generation.
         *
         * @param promptTokens length of the prompt, 0 for a call of a plain service
         * @param outputTokens expected length of the answer
         * @param targetGapMillis longest pause between events that is on time, 0 for any
         */
        public Builder generation(long promptTokens, long outputTokens, long targetGapMillis) {
            mPromptTokens = promptTokens;
            mOutputTokens = outputTokens;
            mTargetGapMillis = targetGapMillis;
            return this;
        }

        /** Sets where its caller is connected; upstreams there are preferred among equals. */
        public Builder domain(FailureDomain value) {
            mDomain = value;
            return this;
        }

        /** Sets the rank, 0 first. */
        public Builder priority(int value) {
            mPriority = value;
            return this;
        }

        /** Sets upstreams that were tried, and whether the request was sent to one of them. */
        public Builder previousAttempts(Set<UpstreamId> excluded, boolean repeat) {
            mExcluded = Set.copyOf(excluded);
            mRepeat = repeat;
            return this;
        }

        /** Returns the request. The builder must not be used any more. */
        public PlacementRequest build() {
            return new PlacementRequest(this);
        }
    }

    // Public API.

    /** Returns the name of the placement. */
    public PlacementKey key() {
        return mValues.mKey;
    }

    /** Returns the request's id. */
    public String requestId() {
        return mValues.mRequestId;
    }

    /** Returns the service that has to run it. */
    public ServiceName service() {
        return mValues.mService;
    }

    /** Returns the hash of the content, empty if there is none. */
    public String contentHash() {
        return mValues.mContentHash;
    }

    /** Returns until when the answer, or the first event of a stream, is on time. */
    public long targetNanos() {
        return mValues.mTargetNanos;
    }

    /** Returns when the caller leaves if nothing has come. */
    public long latestStartNanos() {
        return mValues.mLatestNanos;
    }

    /** Returns when the whole answer is worth nothing any more. */
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

    /** Returns the longest pause between events that is on time, 0 for any. */
    public long targetGapMillis() {
        return mValues.mTargetGapMillis;
    }

    /** Returns where its caller is connected, if that is known. */
    public Optional<FailureDomain> domain() {
        return Optional.ofNullable(mValues.mDomain);
    }

    /** Returns the rank, 0 first. */
    public int priority() {
        return mValues.mPriority;
    }

    /** Returns whether the request was sent to an upstream before. */
    public boolean retry() {
        return mValues.mRepeat;
    }

    /** Returns upstreams that must not get it. */
    public Set<UpstreamId> excluded() {
        return mValues.mExcluded;
    }

    /** Returns what serving it on time is worth, in calls of a plain service. */
    public double value() {
        return mValue;
    }

    /** Returns the tokens of memory that an engine holds for it at its end. */
    public long memoryTokens() {
        return mValues.mPromptTokens + mValues.mOutputTokens;
    }
}
