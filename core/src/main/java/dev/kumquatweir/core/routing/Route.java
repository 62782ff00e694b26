package dev.kumquatweir.core.routing;

import dev.kumquatweir.core.identity.ServiceName;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Routing rule for the requests of one host and path prefix: services, execution semantics, time
 * limits and priority. Immutable.
 */
public final class Route {
    private final Builder mBuilder;

    private Route(Builder values) {
        mBuilder = values;
    }

    // Configuration.

    /**
     * Returns a builder for a route.
     *
     * @param name name of the route
     * @param host value of the Host header that the route matches
     * @param pathPrefix path prefix that the route matches; begins and ends with a slash
     */
    public static Builder builder(String name, String host, String pathPrefix) {
        return new Builder(name, host, pathPrefix);
    }

    /** Builds a {@link Route}. Not thread-safe. */
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

        /** Sets the services that share the traffic; at least one has a positive weight. */
        public Builder shares(List<ServiceShare> value) {
            mShares = List.copyOf(value);
            return this;
        }

        /** Sets how often a request may be executed and whether its response is an event stream. */
        public Builder execution(Repeatability repeatability, boolean streaming) {
            mRepeatability = repeatability;
            mStreaming = streaming;
            return this;
        }

        /** Sets whether callers have to send the API key of a team. */
        public Builder apiKeyRequired(boolean value) {
            mApiKeyRequired = value;
            return this;
        }

        /**
         * Sets the time limit and the latency targets of a request.
         *
         * @param timeoutMillis time limit from the request to the end of its response
         * @param targetLatencyMillis target for the time to the response, or to the first event of
         *     a stream
         * @param targetGapMillis target for the gap between two events of a stream; 0 for no target
         */
        public Builder times(long timeoutMillis, long targetLatencyMillis, long targetGapMillis) {
            mTimeoutMillis = timeoutMillis;
            mTargetLatencyMillis = targetLatencyMillis;
            mTargetGapMillis = targetGapMillis;
            return this;
        }

        /** Sets the priority, 0 being the highest, and the maximum upstreams per request. */
        public Builder limits(int priority, int maximumUpstreams) {
            mPriority = priority;
            mMaximumUpstreams = maximumUpstreams;
            return this;
        }

        /** Returns the route, which takes over the builder; do not use the builder afterwards. */
        public Route build() {
            return new Route(this);
        }
    }

    // Public API.

    /** Returns the name of the route. */
    public String name() {
        return mBuilder.mName;
    }

    /** Returns the value of the Host header that the route matches. */
    public String host() {
        return mBuilder.mHost;
    }

    /** Returns the path prefix that the route matches. */
    public String pathPrefix() {
        return mBuilder.mPathPrefix;
    }

    /** Returns the services that share the traffic, with their weights. */
    public List<ServiceShare> shares() {
        return mBuilder.mShares;
    }

    /** Returns how often a request may be executed. */
    public Repeatability repeatability() {
        return mBuilder.mRepeatability;
    }

    /** Returns whether the response is an event stream. */
    public boolean streaming() {
        return mBuilder.mStreaming;
    }

    /** Returns whether callers have to send the API key of a team. */
    public boolean apiKeyRequired() {
        return mBuilder.mApiKeyRequired;
    }

    /** Returns the time limit from the request to the end of its response. */
    public long timeoutMillis() {
        return mBuilder.mTimeoutMillis;
    }

    /** Returns the target for the time to the response, or to the first event of a stream. */
    public long targetLatencyMillis() {
        return mBuilder.mTargetLatencyMillis;
    }

    /** Returns the target for the gap between two events of a stream, 0 for no target. */
    public long targetGapMillis() {
        return mBuilder.mTargetGapMillis;
    }

    /** Returns the priority, 0 being the highest. */
    public int priority() {
        return mBuilder.mPriority;
    }

    /** Returns the maximum number of upstreams that one request may be sent to. */
    public int maximumUpstreams() {
        return mBuilder.mMaximumUpstreams;
    }

    /**
     * Selects a service for a request, in proportion to the weights. Deterministic: the same hash
     * always selects the same service. Returns null if no service has a positive weight.
     *
     * @param hash uniformly distributed over the requests, such as a hash of the request id
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
