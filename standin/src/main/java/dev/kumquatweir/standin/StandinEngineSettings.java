package dev.kumquatweir.standin;

import dev.kumquatweir.standin.model.EngineLimits;
import dev.kumquatweir.standin.model.EngineSpeed;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of a stand-in engine. Immutable.
 *
 * @param id stable name
 * @param listen address to listen on; port 0 takes a free one
 * @param failureDomain failure domain it says it is in
 * @param service service it belongs to
 * @param models models loaded at the start
 * @param role role at the start: {@code mixed}, {@code prefill} or {@code decode}
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param startsCold whether it is cold at the start
 * @param cancelsOnDisconnect whether a closed connection cancels the attempt that it carried
 * @param limits what it can hold and handle
 * @param speed how fast it works
 * @param loadMillis time that an ordered load takes, scaled by the speed
 * @param restartMillis time from a crash until the engine listens again, cold
 * @param drainMillis longest wait for running requests at a planned stop
 * @param reports how it reports to kumquatweir
 */
public record StandinEngineSettings(
        String id,
        InetSocketAddress listen,
        String failureDomain,
        String service,
        List<String> models,
        String role,
        boolean checksFencing,
        boolean startsCold,
        boolean cancelsOnDisconnect,
        EngineLimits limits,
        EngineSpeed speed,
        long loadMillis,
        long restartMillis,
        long drainMillis,
        ReportSettings reports) {

    /** Copies the list. */
    public StandinEngineSettings {
        models = List.copyOf(models);
    }

    /** Starts settings with defaults: 127.0.0.1, a free port, one model and no reports. */
    public static Builder builder(String id) {
        return new Builder(id);
    }

    /** Builds settings. Not thread-safe. */
    public static final class Builder {
        private final String mId;
        private InetSocketAddress mListen =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        private String mFailureDomain = "domain-a";
        private String mService = "llm";
        private List<String> mModels = List.of("standin");
        private String mRole = "mixed";
        private boolean mChecksFencing = true;
        private boolean mStartsCold;
        private boolean mCancelsOnDisconnect = true;
        private EngineLimits mLimits = EngineLimits.USUAL;
        private EngineSpeed mSpeed = EngineSpeed.USUAL;
        private long mLoadMillis = 5_000;
        private long mRestartMillis = 1_000;
        private long mDrainMillis = 30_000;
        private ReportSettings mReports = ReportSettings.NONE;

        private Builder(String id) {
            mId = id;
        }

        /** Sets the address to listen on; port 0 takes a free one. */
        public Builder listen(InetSocketAddress address) {
            mListen = address;
            return this;
        }

        /** Sets the failure domain. */
        public Builder failureDomain(String domain) {
            mFailureDomain = domain;
            return this;
        }

        /** Sets the service that the engine belongs to. */
        public Builder service(String service) {
            mService = service;
            return this;
        }

        /** Sets the models loaded at the start. */
        public Builder models(List<String> models) {
            mModels = List.copyOf(models);
            return this;
        }

        /** Sets the role: {@code mixed}, {@code prefill} or {@code decode}. */
        public Builder role(String role) {
            mRole = role;
            return this;
        }

        /** Sets whether orders with an old fencing number are refused. */
        public Builder checksFencing(boolean checks) {
            mChecksFencing = checks;
            return this;
        }

        /** Sets whether the engine is cold at the start. */
        public Builder startsCold(boolean cold) {
            mStartsCold = cold;
            return this;
        }

        /** Sets whether a closed connection cancels the attempt that it carried. */
        public Builder cancelsOnDisconnect(boolean cancels) {
            mCancelsOnDisconnect = cancels;
            return this;
        }

        /** Sets what the engine can hold and handle. */
        public Builder limits(EngineLimits limits) {
            mLimits = limits;
            return this;
        }

        /** Sets how fast the engine works. */
        public Builder speed(EngineSpeed speed) {
            mSpeed = speed;
            return this;
        }

        /** Sets the time that an ordered load takes, scaled by the speed. */
        public Builder loadMillis(long millis) {
            mLoadMillis = millis;
            return this;
        }

        /** Sets the time from a crash until the engine listens again. */
        public Builder restartMillis(long millis) {
            mRestartMillis = millis;
            return this;
        }

        /** Sets the longest wait for running requests at a planned stop. */
        public Builder drainMillis(long millis) {
            mDrainMillis = millis;
            return this;
        }

        /** Sets how the engine reports to kumquatweir. */
        public Builder reports(ReportSettings reports) {
            mReports = reports;
            return this;
        }

        /** Returns the settings. */
        public StandinEngineSettings build() {
            return new StandinEngineSettings(
                    mId,
                    mListen,
                    mFailureDomain,
                    mService,
                    mModels,
                    mRole,
                    mChecksFencing,
                    mStartsCold,
                    mCancelsOnDisconnect,
                    mLimits,
                    mSpeed,
                    mLoadMillis,
                    mRestartMillis,
                    mDrainMillis,
                    mReports);
        }
    }
}
