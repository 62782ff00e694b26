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

/**
 * State of an admitted request, from admission to its end. Not thread-safe: owned by the dispatch
 * duty.
 */
final class TrackedRequest implements QueuedWork {
    /** Urgency of requests close to their deadline, above the priority of every profile. */
    static final int URGENT = 10;

    final WorkRequest mRequest;
    final LengthClass mLength;
    final long mExpectedOutputTokens;
    int mUrgency;
    @Nullable RunningAttempt mCurrent;
    boolean mQueued;
    boolean mEnded;
    boolean mMayHaveRun;
    long mDeliveredTokens;
    int mBreakCount;
    int mRefusalCount;
    long mNotBeforeNanos = Long.MIN_VALUE;
    Set<UpstreamId> mAvoidedUpstreams = Set.of();
    Set<FailureDomain> mAvoidedDomains = Set.of();
    @Nullable UpstreamLoad mReservedUpstream;
    long mReservedAtNanos;
    long mIsolationWaitStartNanos;
    boolean mIsolationWaived;

    TrackedRequest(WorkRequest request, long expectedOutput) {
        mRequest = request;
        mLength = LengthClass.of(request.promptTokens());
        mExpectedOutputTokens = Math.max(1, expectedOutput);
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
        return Math.max(1, mRequest.promptTokens() + mExpectedOutputTokens);
    }

    @Override
    public boolean mayBeShed() {
        // Admitted long requests are completed; other work is shed only if it cannot have started.
        return !mMayHaveRun && mRequest.profile().requestClass() != RequestClass.LONG;
    }

    /** Returns the tokens to prefill in the next attempt, including those already delivered. */
    long prefillTokens() {
        return mRequest.promptTokens() + mDeliveredTokens;
    }

    /** Returns the maximum number of tokens still to be generated. */
    long remainingTokens() {
        return Math.max(1, mRequest.maximumOutputTokens() - mDeliveredTokens);
    }

    /** Returns whether the request has executed, as far as it is known. */
    Executed ran() {
        if (mDeliveredTokens > 0) {
            return Executed.YES;
        }
        return mMayHaveRun || mCurrent != null ? Executed.UNKNOWN : Executed.NO;
    }
}
