package dev.kumquatweir.core.routing;

import dev.kumquatweir.core.identity.ServiceName;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Requests of one host and path prefix, and how they are served. Immutable. */
public final class Route {
    private final Builder mBuilder;

    private Route(Builder values) {
        mBuilder = values;
    }

    // Configuration.

    /**
     * Starts a route.
     *
     * @param name name of the route
     * @param host host that requests name
     * @param pathPrefix start of their paths; begins and ends with a slash
     */
    public static Builder builder(String name, String host, String pathPrefix) {
        return new Builder(name, host, pathPrefix);
    }

    /** Collects the values of a route. Not thread-safe. */
    public static final class Builder {
        private final String mName;
        private final String mHost;
        private final String mPathPrefix;
        private List<ServiceShare> mShares = List.of();
        private Repeatability mRepeatability = Repeatability.ONCE;
        private boolean mStreaming;
        private boolean mApiKeyRequired = true;
        private long mTimeoutMillis = 10_000;
        private long mTargetLatencyMillis = 1_000;
        private long mTargetGapMillis;
        private int mPriority;
        private int mMaximumUpstreams = 1;

        private Builder(String name, String host, String pathPrefix) {
            mName = name;
            mHost = host;
            mPathPrefix = pathPrefix;
        }

        /** Sets the services that share the requests; at least one has a positive weight. */
        public Builder shares(List<ServiceShare> value) {
            mShares = List.copyOf(value);
            return this;
        }

        /** Sets how often a request may run and whether its answer is a stream of events. */
        public Builder execution(Repeatability repeatability, boolean streaming) {
            mRepeatability = repeatability;
            mStreaming = streaming;
            return this;
        }

        /** Sets whether callers have to show the key of a team. */
        public Builder apiKeyRequired(boolean value) {
            mApiKeyRequired = value;
            return this;
        }

        /**
         * Sets the times of a request.
         *
         * @param timeoutMillis a request gets its final answer within this time
         * @param targetLatencyMillis an answer, or the first event of a stream, is on time within
         *     it
         * @param targetGapMillis longest pause between events of a stream that is on time; 0: none
         */
        public Builder times(long timeoutMillis, long targetLatencyMillis, long targetGapMillis) {
            mTimeoutMillis = timeoutMillis;
            mTargetLatencyMillis = targetLatencyMillis;
            mTargetGapMillis = targetGapMillis;
            return this;
        }

        /** Sets the rank, 0 first, and to how many upstreams one request may be sent. */
        public Builder limits(int priority, int maximumUpstreams) {
            mPriority = priority;
            mMaximumUpstreams = maximumUpstreams;
            return this;
        }

        /** Returns the route. The builder must not be used any more. */
        public Route build() {
            return new Route(this);
        }
    }

    // Public API.

    /** Returns the name. */
    public String name() {
        return mBuilder.mName;
    }

    /** Returns the host that requests name. */
    public String host() {
        return mBuilder.mHost;
    }

    /** Returns the start of the paths. */
    public String pathPrefix() {
        return mBuilder.mPathPrefix;
    }

    /** Returns the services that share the requests. */
    public List<ServiceShare> shares() {
        return mBuilder.mShares;
    }

    /** Returns how often a request may run. */
    public Repeatability repeatability() {
        return mBuilder.mRepeatability;
    }

    /** Returns whether the answer is a stream of events. */
    public boolean streaming() {
        return mBuilder.mStreaming;
    }

    /** Returns whether callers have to show the key of a team. */
    public boolean apiKeyRequired() {
        return mBuilder.mApiKeyRequired;
    }

    /** Returns within which time a request gets its final answer. */
    public long timeoutMillis() {
        return mBuilder.mTimeoutMillis;
    }

    /** Returns within which time an answer, or the first event of a stream, is on time. */
    public long targetLatencyMillis() {
        return mBuilder.mTargetLatencyMillis;
    }

    /** Returns the longest pause between events that is on time, 0 if there is no such target. */
    public long targetGapMillis() {
        return mBuilder.mTargetGapMillis;
    }

    /** Returns the rank, 0 first. */
    public int priority() {
        return mBuilder.mPriority;
    }

    /** Returns to how many upstreams one request may be sent. */
    public int maximumUpstreams() {
        return mBuilder.mMaximumUpstreams;
    }

    /**
     * Returns the service of a request, the same for the same number.
     *
     * @param hash evenly spread over the requests, such as a hash of the request's id
     */
    public @Nullable ServiceName selectService(long hash) {
        long total = mBuilder.mShares.stream().mapToLong(ServiceShare::weight).sum();
        if (total <= 0) {
            return null;
        }
        long position = Math.floorMod(hash, total);
        for (ServiceShare share : mBuilder.mShares) {
            position -= share.weight();
            if (position < 0) {
                return share.service();
            }
        }
        return null;
    }
}
