package dev.kumquatweir.policy.permit;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.LoadReport;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Slow start of cold upstreams. While an upstream reports that it is cold, its announced cold limit
 * applies. After that the limit grows each time as many first tokens have arrived on time as
 * requests are allowed, until it reaches the upstream's maximum number of running requests. It is
 * reset to the cold limit as soon as the upstream restarts with a new incarnation, reports that it
 * is cold again, or returns first tokens far too late. Not thread-safe: owned by the leader's event
 * loop.
 */
public final class UpstreamSlowStart {
    private final double mGrowth;
    private final long mStepNanos;
    private final int mLateThreshold;
    private final Map<UpstreamId, State> mStates = new HashMap<>();

    private UpstreamSlowStart(Builder builder) {
        mGrowth = builder.mGrowth;
        mStepNanos = builder.mStepNanos;
        mLateThreshold = builder.mLateThreshold;
    }

    /**
     * Returns a builder whose defaults raise the limit by half at most every 500 ms and reset it
     * after 2 late first tokens.
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Processes an announcement. A new incarnation of a known upstream starts cold even if it does
     * not announce itself as cold.
     */
    public void onAnnouncement(Announcement announcement, long nowNanos) {
        State state = mStates.get(announcement.id());
        if (state == null || state.mIncarnation < announcement.incarnation()) {
            boolean warm = state == null && !announcement.cold();
            mStates.put(announcement.id(), new State(announcement, warm, nowNanos));
        }
    }

    /** Processes a load report, which says whether the upstream considers itself cold. */
    public void onLoadReport(LoadReport report, long nowNanos) {
        State state = mStates.get(report.id());
        if (state == null || state.mIncarnation != report.incarnation()) {
            return;
        }
        if (report.cold() && !state.mReportsCold) {
            state.resetToCold(nowNanos);
        }
        state.mReportsCold = report.cold();
    }

    /** Processes first-token counts of an instance; those of other incarnations are ignored. */
    public void onFirstTokenEvidence(FirstTokenEvidence evidence, long nowNanos) {
        State state = mStates.get(evidence.upstream());
        if (state == null || state.mIncarnation != evidence.incarnation()) {
            return;
        }
        state.mLate = Math.max(0, state.mLate - evidence.inTime()) + evidence.late();
        if (state.mLate >= mLateThreshold) {
            state.resetToCold(nowNanos);
            return;
        }
        if (!state.mWarm && !state.mReportsCold) {
            state.mInTime += evidence.inTime();
            boolean stepElapsed = nowNanos - state.mLastStepNanos >= mStepNanos;
            if (stepElapsed && state.mInTime >= state.requests()) {
                state.grow(mGrowth, nowNanos);
            }
        }
    }

    /** Removes an upstream that is no longer available. */
    public void remove(UpstreamId upstream) {
        mStates.remove(upstream);
    }

    /** Returns the limit of an upstream, or empty if the upstream is not known. */
    public Optional<SlowStartLimit> limit(UpstreamId upstream) {
        return Optional.ofNullable(mStates.get(upstream)).map(State::limit);
    }

    /**
     * Sets the current limits of an upstream in the ledger, or removes them if the upstream is not
     * known. To be called after each change.
     */
    public void apply(UpstreamId upstream, PermitLedger ledger) {
        PermitResource requests = new PermitResource.ColdRequests(upstream);
        PermitResource prefill = new PermitResource.ColdPrefill(upstream);
        State state = mStates.get(upstream);
        if (state == null) {
            ledger.removeLimit(requests);
            ledger.removeLimit(prefill);
            return;
        }
        switch (state.limit()) {
            case SlowStartLimit.Unlimited unlimited -> {
                ledger.setLimit(requests, state.mIncarnation, Long.MAX_VALUE);
                ledger.setLimit(prefill, state.mIncarnation, Long.MAX_VALUE);
            }
            case SlowStartLimit.Limited limited -> {
                ledger.setLimit(requests, state.mIncarnation, limited.requests());
                ledger.setLimit(prefill, state.mIncarnation, limited.prefillTokens());
            }
        }
    }

    private static final class State {
        private final long mIncarnation;
        private final long mColdRequests;
        private final long mColdPrefill;
        private final long mMaximumRunning;
        private boolean mReportsCold;
        private boolean mWarm;
        private double mFactor = 1;
        private int mInTime;
        private int mLate;
        private long mLastStepNanos;

        State(Announcement announcement, boolean warm, long nowNanos) {
            mIncarnation = announcement.incarnation();
            mColdRequests = announcement.coldLimit().requests();
            mColdPrefill = announcement.coldLimit().prefillTokens();
            mMaximumRunning = announcement.maximumRunning();
            mReportsCold = announcement.cold();
            mWarm = warm;
            mLastStepNanos = nowNanos;
        }

        void resetToCold(long nowNanos) {
            mWarm = false;
            mFactor = 1;
            mInTime = 0;
            mLate = 0;
            mLastStepNanos = nowNanos;
        }

        void grow(double growth, long nowNanos) {
            // Adds at least one request: rounding would keep a limit of 1 for several steps.
            mFactor = Math.max(mFactor * growth, (requests() + 1.0) / Math.max(1, mColdRequests));
            mInTime = 0;
            mLastStepNanos = nowNanos;
            mWarm = requests() >= mMaximumRunning;
        }

        long requests() {
            return scaled(mColdRequests);
        }

        SlowStartLimit limit() {
            return mWarm
                    ? new SlowStartLimit.Unlimited()
                    : new SlowStartLimit.Limited(requests(), scaled(mColdPrefill));
        }

        /**
         * Returns an announced limit times the current factor. An announced limit of 0 admits
         * nothing while the upstream reports that it is cold and counts as 1 afterwards.
         */
        private long scaled(long announced) {
            return mReportsCold ? announced : (long) (Math.max(1, announced) * mFactor + 1e-9);
        }
    }

    /** Builds a {@link UpstreamSlowStart}. Not thread-safe. */
    public static final class Builder {
        private double mGrowth = 1.5;
        private long mStepNanos = TimeUnit.MILLISECONDS.toNanos(500);
        private int mLateThreshold = 2;

        private Builder() {}

        /** Sets the growth factor of one step and the minimum time between steps. */
        public Builder growth(double factor, long stepNanos) {
            mGrowth = factor;
            mStepNanos = stepNanos;
            return this;
        }

        /**
         * Sets the number of late first tokens that resets an upstream to its cold limit. Each
         * first token on time offsets a late one.
         */
        public Builder lateThreshold(int value) {
            mLateThreshold = value;
            return this;
        }

        /** Returns a slow start without any upstreams. */
        public UpstreamSlowStart build() {
            return new UpstreamSlowStart(this);
        }
    }
}
