package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.policy.routing.Placement;

/** The current attempt of a request. Not thread-safe: owned by the dispatch duty. */
final class RunningAttempt {
    final AttemptId mId;
    final Placement mPlacement;
    final long mStartedNanos;
    final long mResumeOffset;
    final long mPrefillTokens;
    boolean mAccepted;
    boolean mFirstToken;
    long mFirstTokenNanos;
    long mLastProgressNanos;

    RunningAttempt(
            AttemptId id, Placement placement, long offset, long prefillTokens, long nowNanos) {
        mId = id;
        mPlacement = placement;
        mResumeOffset = offset;
        mPrefillTokens = prefillTokens;
        mStartedNanos = nowNanos;
        mLastProgressNanos = nowNanos;
    }
}
