package dev.kumquatweir.policy.permit;

import dev.kumquatweir.core.identity.FailureDomain;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Share of new work that a returning failure domain may get. Without it each instance would find
 * the idle domain the cheapest at the same moment. The share doubles with each step in which the
 * domain's work succeeds, and halves with one in which it fails. Each instance decides by itself:
 * the shares of all add up to the share of the whole load. Not thread-safe: owned by the dispatch
 * duty.
 */
public final class DomainSlowStart {
    private static final double INITIAL_SHARE = 0.1;
    private static final double MINIMUM_SHARE = 0.05;
    private static final double MAXIMUM_FAILURE_RATIO = 0.1;

    /** Time of one step. */
    public static final long STEP_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A step without any outcome counts as a success after this time. */
    public static final long IDLE_STEP_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<FailureDomain, State> mStates = new HashMap<>();

    /** Starts the ramp of a domain that operators returned, or that is heard of again. */
    public void start(FailureDomain domain, long nowNanos) {
        mStates.put(domain, new State(nowNanos));
    }

    /** Takes the outcome of an attempt in a domain. */
    public void recordOutcome(FailureDomain domain, boolean succeeded, long nowNanos) {
        State state = mStates.get(domain);
        if (state != null) {
            state.advance(nowNanos);
            state.mSucceeded += succeeded ? 1 : 0;
            state.mFailed += succeeded ? 0 : 1;
        }
    }

    /** Returns the share of its normal work that a domain may get now, above 0 up to 1. */
    public double share(FailureDomain domain, long nowNanos) {
        State state = mStates.get(domain);
        if (state == null) {
            return 1;
        }
        state.advance(nowNanos);
        if (state.mShare >= 1) {
            mStates.remove(domain);
            return 1;
        }
        return state.mShare;
    }

    /**
     * Returns whether a request may be placed in a domain now.
     *
     * @param randomFraction number drawn for the request, 0 up to 1, the same at each call for it
     */
    public boolean admits(FailureDomain domain, double randomFraction, long nowNanos) {
        return randomFraction < share(domain, nowNanos);
    }

    private static final class State {
        private double mShare = INITIAL_SHARE;
        private long mLastStepNanos;
        private int mSucceeded;
        private int mFailed;

        State(long nowNanos) {
            mLastStepNanos = nowNanos;
        }

        void advance(long nowNanos) {
            long elapsed = nowNanos - mLastStepNanos;
            boolean idle = mSucceeded + mFailed == 0;
            if (elapsed < (idle ? IDLE_STEP_NANOS : STEP_NANOS)) {
                return;
            }
            boolean failing = mFailed > MAXIMUM_FAILURE_RATIO * (mSucceeded + mFailed);
            mShare = failing ? Math.max(MINIMUM_SHARE, mShare / 2) : Math.min(1, mShare * 2);
            mSucceeded = 0;
            mFailed = 0;
            mLastStepNanos = nowNanos;
        }
    }
}
