package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the first sends and retries of one service within a sliding window, for each instance that
 * sends them. Unlike a token bucket it accumulates no credit, so that the retries never exceed the
 * window's share. Owned by {@link RetryBudgets}; not thread-safe.
 */
final class SlidingRetryBudget {
    private final PlacementLimits mLimits;
    private final Map<InstanceId, SlidingCounts> mCounts = new HashMap<>();

    SlidingRetryBudget(PlacementLimits limits) {
        mLimits = limits;
    }

    void record(InstanceId sender, boolean retry, long nowNanos) {
        mCounts.computeIfAbsent(sender, key -> new SlidingCounts(mLimits.retryWindowMillis()))
                .add(retry, nowNanos);
    }

    /**
     * Applies what a sender has counted itself. It knows its sends to other schedulers as well, but
     * not yet those that were just granted; the larger number of retries holds.
     */
    void applyReport(InstanceId sender, List<SentCount> sent, long nowNanos) {
        SlidingCounts reported = new SlidingCounts(mLimits.retryWindowMillis());
        sent.forEach(count -> reported.add(count, nowNanos));
        SlidingCounts known = mCounts.get(sender);
        if (known == null || reported.retries(nowNanos) >= known.retries(nowNanos)) {
            mCounts.put(sender, reported);
        }
    }

    /**
     * Returns the use of the window.
     *
     * @param share share of the limit that this scheduler may use
     * @param additionalShare share of the additional retries that it may use, of its share
     * @param nowNanos present time
     */
    RetryUsage usage(double share, double additionalShare, long nowNanos) {
        int firstSends =
                mCounts.values().stream().mapToInt(counts -> counts.firstSends(nowNanos)).sum();
        int retries = mCounts.values().stream().mapToInt(counts -> counts.retries(nowNanos)).sum();
        double additional = additionalShare * mLimits.additionalRetries();
        return new RetryUsage(
                firstSends, retries, share * (mLimits.retryRatio() * firstSends + additional));
    }
}
