package dev.kumquatweir.policy.permit;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.LoadReport;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Limits of cold upstreams. While an upstream says that it is cold, its announced limit holds.
 * After that the limit grows with each round of first tokens in time until it reaches the
 * upstream's normal load. It falls back at once at a new incarnation, at a report of being cold, or
 * when first tokens come far too late. Not thread-safe: owned by the leader's duty.
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

    /** Starts a ramp that grows by half at most each 500 ms and falls back at 2 late answers. */
    public static Builder builder() {
        return new Builder();
    }

    /** Takes an announcement. A new incarnation of a known upstream starts cold in any case. */
    public void onAnnouncement(Announcement announcement, long nowNanos) {
        State state = mStates.get(announcement.id());
        if (state == null || state.mIncarnation < announcement.incarnation()) {
            boolean warm = state == null && !announcement.cold();
            mStates.put(announcement.id(), new State(announcement, warm, nowNanos));
        }
    }

    /** Takes a load report with the upstream's own word on being cold. */
    public void onLoadReport(LoadReport load, long nowNanos) {
        State state = mStates.get(load.id());
        if (state == null || state.mIncarnation != load.incarnation()) {
            return;
        }
        if (load.cold() && !state.mReportsCold) {
            state.resetToCold(nowNanos);
        }
        state.mReportsCold = load.cold();
    }

    /** Takes what an instance saw of first tokens. */
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

    /** Forgets an upstream that is gone. */
    public void remove(UpstreamId upstream) {
        mStates.remove(upstream);
    }

    /** Returns the limit of an upstream, or nothing if it is not known. */
    public Optional<SlowStartLimit> limit(UpstreamId upstream) {
        return Optional.ofNullable(mStates.get(upstream)).map(State::limit);
    }

    /** Sets the limits of an upstream in the ledger; call it after each change. */
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
            // A limit of 1 would otherwise stay at 1 for several steps.
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

        /** An announced limit of 0 means no work at all, but only while the upstream is cold. */
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

        /** Sets the factor of one step and the least time between steps. */
        public Builder growth(double factor, long stepNanos) {
            mGrowth = factor;
            mStepNanos = stepNanos;
            return this;
        }

        /** Sets how many late first tokens, less those in time, make an upstream cold again. */
        public Builder lateThreshold(int value) {
            mLateThreshold = value;
            return this;
        }

        /** Returns the ramp, which knows no upstream yet. */
        public UpstreamSlowStart build() {
            return new UpstreamSlowStart(this);
        }
    }
}
