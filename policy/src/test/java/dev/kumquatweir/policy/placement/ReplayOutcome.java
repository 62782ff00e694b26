package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The result of one request over all its sends. Times are in milliseconds after its arrival, -1 for
 * never.
 */
final class ReplayOutcome {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    final PlacementRequest mRequest;
    final long mArrivedNanos;
    final Set<UpstreamId> mTried = new HashSet<>();
    int mSends;
    long mPlacedNanos = -1;
    double mFirstEventMillis = -1;
    double mRejectedMillis = -1;
    double mLongestGapMillis;
    int mEngines;
    boolean mFinished;

    ReplayOutcome(PlacementRequest request, long arrivedNanos) {
        mRequest = request;
        mArrivedNanos = arrivedNanos;
    }

    boolean onTime() {
        long targetMillis = (mRequest.targetNanos() - mArrivedNanos) / MILLI;
        long targetGapMillis = mRequest.targetGapMillis();
        return mFinished
                && mFirstEventMillis <= targetMillis
                && (targetGapMillis == 0 || mLongestGapMillis <= targetGapMillis);
    }

    /** Returns whether the answer began at the first attempt. */
    boolean begunAtFirstAttempt() {
        return mFirstEventMillis >= 0 && mSends == 1;
    }

    /** Returns whether it has arrived and was neither placed nor rejected. */
    boolean waiting(long nowNanos) {
        return mArrivedNanos <= nowNanos && mPlacedNanos < 0 && mRejectedMillis < 0;
    }

    boolean finished() {
        return mFinished;
    }

    List<String> parts() {
        return mRequest.sharedParts();
    }

    double arrivedMillis() {
        return (double) mArrivedNanos / MILLI;
    }

    double rejectedMillis() {
        return mRejectedMillis;
    }

    double firstEventMillis() {
        return mFirstEventMillis;
    }

    int engines() {
        return mEngines;
    }

    long promptTokens() {
        return mRequest.promptTokens();
    }
}
