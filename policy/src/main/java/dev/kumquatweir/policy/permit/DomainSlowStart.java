package dev.kumquatweir.policy.permit;

import dev.kumquatweir.core.identity.FailureDomain;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Slow start of failure domains that return to service. Limits the share of new requests that may
 * be placed in such a domain; without it, all instances would choose the idle domain at the same
 * time because its placement cost is lowest. The share doubles after each step in which the
 * domain's attempts succeed and halves after one in which they fail. Instances need no
 * coordination: if each applies a share to its own requests, the same share applies to the total
 * load. Not thread-safe: owned by the dispatch event loop.
 */
public final class DomainSlowStart {
    private static final double INITIAL_SHARE = 0.1;
    private static final double MINIMUM_SHARE = 0.05;
    private static final double MAXIMUM_FAILURE_RATIO = 0.1;

    /** Duration of one step. */
    public static final long STEP_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time after which a step without any outcome counts as successful. */
    public static final long IDLE_STEP_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<FailureDomain, State> mStates = new HashMap<>();

    /** Starts the slow start of a domain that operators returned or that is reachable again. */
    public void start(FailureDomain domain, long nowNanos) {
        mStates.put(domain, new State(nowNanos));
    }

    /** Records the outcome of an attempt in a domain. */
    public void recordOutcome(FailureDomain domain, boolean succeeded, long nowNanos) {
        State state = mStates.get(domain);
        if (state != null) {
            state.advance(nowNanos);
            state.mSucceeded += succeeded ? 1 : 0;
            state.mFailed += succeeded ? 0 : 1;
        }
    }

    /** Returns the share of its normal load that a domain may get now, above 0 and up to 1. */
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
     * @param randomFraction random number of the request, from 0 up to 1; has to be the same in
     *     each call for the request
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
