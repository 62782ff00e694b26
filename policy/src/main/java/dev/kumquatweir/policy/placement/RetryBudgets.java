package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Retry budgets of all services of a scheduler. A request counts from the decision to place it, so
 * that the time that it has waited doesn't move it to an earlier window.
 *
 * <p>All leaders one after the other share one part of the limit, and all schedulers in standalone
 * mode the rest. A leader learns from the entry instances what they have sent for its predecessors.
 * Until the window has passed, it withholds the additional retries of those that have not reported.
 * Owned by {@link PlacementScheduler}; not thread-safe.
 */
public final class RetryBudgets {
    private static final double LEADER_SHARE = 0.75;
    private static final double STANDALONE_SHARE = 1 - LEADER_SHARE;

    private final PlacementLimits mLimits;
    private final Map<ServiceName, SlidingRetryBudget> mBudgets = new HashMap<>();
    private final Set<InstanceId> mExpected = new HashSet<>();
    private final Set<InstanceId> mReported = new HashSet<>();
    private double mShare = LEADER_SHARE;
    private double mAdditionalShare = 1;
    private boolean mHasPredecessor;
    private long mStartedNanos;

    RetryBudgets(PlacementLimits limits) {
        mLimits = limits;
    }

    void configureStandalone(int instances) {
        mShare = STANDALONE_SHARE;
        mAdditionalShare = 1.0 / instances;
    }

    /**
     * Starts in standalone mode with an unknown number of instances. The process may have used its
     * additional retries before it was restarted.
     */
    public void startStandalone(long nowNanos) {
        mShare = STANDALONE_SHARE;
        mAdditionalShare = 0;
        mHasPredecessor = true;
        mStartedNanos = nowNanos;
        mExpected.clear();
    }

    /** Starts as a leader that may have predecessors. */
    public void startLeading(long nowNanos) {
        mHasPredecessor = true;
        mStartedNanos = nowNanos;
    }

    /** Adds entry instances that may have sent requests for a predecessor. */
    public void expectReports(Collection<InstanceId> entries, long nowNanos) {
        if (isAfterPredecessor(nowNanos)) {
            mExpected.addAll(entries);
        }
    }

    /** Applies what an entry instance has sent, see {@link SentRequests}. */
    public void applyReport(
            InstanceId entry, Map<ServiceName, List<SentCount>> counts, long nowNanos) {
        counts.forEach((service, sent) -> budget(service).applyReport(entry, sent, nowNanos));
        mReported.add(entry);
        expectReports(Set.of(entry), nowNanos);
    }

    /** Counts a first send that another scheduler has placed. */
    public void recordFirstSend(PlacementRequest request, long nowNanos) {
        if (!request.retry()) {
            recordPlaced(request, nowNanos);
        }
    }

    /**
     * Returns whether a request may be placed: each first send, and a retry within the budget.
     *
     * @param waitingRetries retries that wait and will be placed before it
     */
    boolean admits(PlacementRequest request, int waitingRetries, long nowNanos) {
        if (!request.retry()) {
            return true;
        }
        RetryUsage usage = usage(request.service(), nowNanos);
        return usage.retries() + waitingRetries + 1 <= usage.limit();
    }

    void recordPlaced(PlacementRequest request, long nowNanos) {
        budget(request.service()).record(request.key().owner(), request.retry(), nowNanos);
    }

    /** Returns the use of the budget of a service. */
    public RetryUsage usage(ServiceName service, long nowNanos) {
        return budget(service).usage(mShare, mAdditionalShare * knownShare(nowNanos), nowNanos);
    }

    private double knownShare(long nowNanos) {
        if (!isAfterPredecessor(nowNanos)) {
            return 1;
        }
        long reported = mExpected.stream().filter(mReported::contains).count();
        return (double) reported / Math.max(1, mExpected.size());
    }

    private boolean isAfterPredecessor(long nowNanos) {
        return mHasPredecessor
                && nowNanos - mStartedNanos
                        <= SlidingCounts.retentionNanos(mLimits.retryWindowMillis());
    }

    private SlidingRetryBudget budget(ServiceName service) {
        return mBudgets.computeIfAbsent(service, key -> new SlidingRetryBudget(mLimits));
    }
}
