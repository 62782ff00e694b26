package dev.kumquatweir.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * Settings of a stand-in plain service. Immutable.
 *
 * @param id stable name
 * @param listen address to listen on; port 0 takes a free one
 * @param prefix path under which each method and path is an action, as {@code /}
 * @param failureDomain failure domain it says it is in
 * @param service service it belongs to
 * @param maxRunning largest number of calls that it says it runs at once
 * @param drainMillis longest wait for running calls at a planned stop
 * @param reports how it reports to kumquatweir
 */
public record StandinServiceSettings(
        String id,
        InetSocketAddress listen,
        String prefix,
        String failureDomain,
        String service,
        int maxRunning,
        long drainMillis,
        ReportSettings reports) {

    /** Starts settings with defaults: 127.0.0.1, a free port, all paths and no reports. */
    public static Builder builder(String id) {
        return new Builder(id);
    }

    /** Builds settings. Not thread-safe. */
    public static final class Builder {
        private final String mId;
        private InetSocketAddress mListen =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        private String mPrefix = "/";
        private String mFailureDomain = "domain-a";
        private String mService = "bookings";
        private int mMaxRunning = 64;
        private long mDrainMillis = 10_000;
        private ReportSettings mReports = ReportSettings.NONE;

        private Builder(String id) {
            mId = id;
        }

        /** Sets the address to listen on; port 0 takes a free one. */
        public Builder listen(InetSocketAddress address) {
            mListen = address;
            return this;
        }

        /** Sets the path under which each method and path is an action. */
        public Builder prefix(String prefix) {
            mPrefix = prefix;
            return this;
        }

        /** Sets the failure domain. */
        public Builder failureDomain(String domain) {
            mFailureDomain = domain;
            return this;
        }

        /** Sets the service that this belongs to. */
        public Builder service(String service) {
            mService = service;
            return this;
        }

        /** Sets the number of calls that it says it runs at once. */
        public Builder maxRunning(int calls) {
            mMaxRunning = calls;
            return this;
        }

        /** Sets the longest wait for running calls at a planned stop. */
        public Builder drainMillis(long millis) {
            mDrainMillis = millis;
            return this;
        }

        /** Sets how the service reports to kumquatweir. */
        public Builder reports(ReportSettings reports) {
            mReports = reports;
            return this;
        }

        /** Returns the settings. */
        public StandinServiceSettings build() {
            return new StandinServiceSettings(
                    mId,
                    mListen,
                    mPrefix,
                    mFailureDomain,
                    mService,
                    mMaxRunning,
                    mDrainMillis,
                    mReports);
        }
    }
}
