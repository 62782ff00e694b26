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
 * is cold again, or returns first tokens far too late. Not thread-safe: owned by the leader's duty.
 */
public final class ColdRamp {
    private final double mGrowth;
    private final long mStepNanos;
    private final int mLateBound;
    private final Map<UpstreamId, State> mStates = new HashMap<>();

    private ColdRamp(Builder builder) {
        mGrowth = builder.mGrowth;
        mStepNanos = builder.mStepNanos;
        mLateBound = builder.mLateBound;
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
    public void announced(Announcement announcement, long nowNanos) {
        State known = mStates.get(announcement.id());
        if (known == null || known.mIncarnation < announcement.incarnation()) {
            boolean warm = known == null && !announcement.cold();
            mStates.put(announcement.id(), new State(announcement, warm, nowNanos));
        }
    }

    /** Processes a load report, which says whether the upstream considers itself cold. */
    public void reported(LoadReport load, long nowNanos) {
        State state = mStates.get(load.id());
        if (state == null || state.mIncarnation != load.incarnation()) {
            return;
        }
        if (load.cold() && !state.mSaysCold) {
            state.fallBack(nowNanos);
        }
        state.mSaysCold = load.cold();
    }

    /** Processes first-token counts of an instance; those of other incarnations are ignored. */
    public void saw(ColdEvidence evidence, long nowNanos) {
        State state = mStates.get(evidence.upstream());
        if (state == null || state.mIncarnation != evidence.incarnation()) {
            return;
        }
        state.mLate = Math.max(0, state.mLate - evidence.inTime()) + evidence.late();
        if (state.mLate >= mLateBound) {
            state.fallBack(nowNanos);
            return;
        }
        if (!state.mWarm && !state.mSaysCold) {
            state.mInTime += evidence.inTime();
            boolean rested = nowNanos - state.mSteppedNanos >= mStepNanos;
            if (rested && state.mInTime >= state.requests()) {
                state.grow(mGrowth, nowNanos);
            }
        }
    }

    /** Removes an upstream that is no longer available. */
    public void forget(UpstreamId upstream) {
        mStates.remove(upstream);
    }

    /** Returns the limit of an upstream, or empty if the upstream is not known. */
    public Optional<RampLimit> limit(UpstreamId upstream) {
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
            ledger.close(requests);
            ledger.close(prefill);
            return;
        }
        switch (state.limit()) {
            case RampLimit.Unlimited unlimited -> {
                ledger.limit(requests, state.mIncarnation, Long.MAX_VALUE);
                ledger.limit(prefill, state.mIncarnation, Long.MAX_VALUE);
            }
            case RampLimit.Limited limited -> {
                ledger.limit(requests, state.mIncarnation, limited.requests());
                ledger.limit(prefill, state.mIncarnation, limited.prefillTokens());
            }
        }
    }

    private static final class State {
        private final long mIncarnation;
        private final long mColdRequests;
        private final long mColdPrefill;
        private final long mMaximumRunning;
        private boolean mSaysCold;
        private boolean mWarm;
        private double mFactor = 1;
        private int mInTime;
        private int mLate;
        private long mSteppedNanos;

        State(Announcement announcement, boolean warm, long nowNanos) {
            mIncarnation = announcement.incarnation();
            mColdRequests = announcement.coldLimit().requests();
            mColdPrefill = announcement.coldLimit().prefillTokens();
            mMaximumRunning = announcement.maximumRunning();
            mSaysCold = announcement.cold();
            mWarm = warm;
            mSteppedNanos = nowNanos;
        }

        void fallBack(long nowNanos) {
            mWarm = false;
            mFactor = 1;
            mInTime = 0;
            mLate = 0;
            mSteppedNanos = nowNanos;
        }

        void grow(double growth, long nowNanos) {
            // Adds at least one request: rounding would keep a limit of 1 for several steps.
            mFactor = Math.max(mFactor * growth, (requests() + 1.0) / Math.max(1, mColdRequests));
            mInTime = 0;
            mSteppedNanos = nowNanos;
            mWarm = requests() >= mMaximumRunning;
        }

        long requests() {
            return scaled(mColdRequests);
        }

        RampLimit limit() {
            return mWarm
                    ? new RampLimit.Unlimited()
                    : new RampLimit.Limited(requests(), scaled(mColdPrefill));
        }

        /**
         * Returns an announced limit times the current factor. An announced limit of 0 admits
         * nothing while the upstream reports that it is cold and counts as 1 afterwards.
         */
        private long scaled(long announced) {
            return mSaysCold ? announced : (long) (Math.max(1, announced) * mFactor + 1e-9);
        }
    }

    /** Builds a {@link ColdRamp}. Not thread-safe. */
    public static final class Builder {
        private double mGrowth = 1.5;
        private long mStepNanos = TimeUnit.MILLISECONDS.toNanos(500);
        private int mLateBound = 2;

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
        public Builder lateBound(int value) {
            mLateBound = value;
            return this;
        }

        /** Returns a slow start without any upstreams. */
        public ColdRamp build() {
            return new ColdRamp(this);
        }
    }
}
