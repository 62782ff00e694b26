package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.configuration.RequestClass;
import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.TeamName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.fairness.QueuedWork;
import dev.kumquatweir.policy.routing.LengthClass;
import dev.kumquatweir.policy.routing.UpstreamLoad;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** An admitted request from admission to its end. Not thread-safe: owned by the dispatch duty. */
final class TrackedRequest implements QueuedWork {
    /** Urgency of work that has little time left, above that of each profile. */
    static final int URGENT = 10;

    final WorkRequest mRequest;
    final LengthClass mLength;
    final long mExpectedOutput;
    int mUrgency;
    @Nullable RunningAttempt mCurrent;
    boolean mQueued;
    boolean mEnded;
    boolean mMayHaveRun;
    long mCallerTokens;
    int mBreaks;
    int mRefusals;
    long mNotBeforeNanos = Long.MIN_VALUE;
    Set<UpstreamId> mAvoidedUpstreams = Set.of();
    Set<FailureDomain> mAvoidedDomains = Set.of();
    @Nullable UpstreamLoad mReserved;
    long mReservedNanos;
    long mSuspectNanos;
    boolean mRunsBesideOthers;

    TrackedRequest(WorkRequest request, long expectedOutput) {
        mRequest = request;
        mLength = LengthClass.of(request.promptTokens());
        mExpectedOutput = Math.max(1, expectedOutput);
        mUrgency = request.profile().priority();
    }

    @Override
    public TeamName team() {
        return mRequest.team();
    }

    @Override
    public int urgency() {
        return mUrgency;
    }

    @Override
    public long tokens() {
        return Math.max(1, mRequest.promptTokens() + mExpectedOutput);
    }

    @Override
    public boolean mayBeShed() {
        // An admitted document is completed; only work that nobody has seen begin is shed.
        return !mMayHaveRun && mRequest.profile().requestClass() != RequestClass.LONG;
    }

    /** Returns the tokens to prefill in the next attempt, those the caller has included. */
    long prefillTokens() {
        return mRequest.promptTokens() + mCallerTokens;
    }

    /** Returns the tokens that may still come. */
    long remainingTokens() {
        return Math.max(1, mRequest.maximumOutputTokens() - mCallerTokens);
    }

    /** Returns what is known about the execution. */
    Executed ran() {
        if (mCallerTokens > 0) {
            return Executed.YES;
        }
        return mMayHaveRun || mCurrent != null ? Executed.UNKNOWN : Executed.NO;
    }
}
