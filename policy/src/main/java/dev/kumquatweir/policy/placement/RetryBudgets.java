package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.ServiceName;
import java.util.HashMap;
import java.util.Map;

/**
 * Retry budgets of all services of a scheduler. A request counts from the decision to place it, so
 * that the time that it has waited doesn't move it to an earlier window. Owned by {@link
 * PlacementScheduler}; not thread-safe.
 */
public final class RetryBudgets {
    private final PlacementLimits mLimits;
    private final Map<ServiceName, SlidingRetryBudget> mBudgets = new HashMap<>();
    private int mInstances = 1;

    RetryBudgets(PlacementLimits limits) {
        mLimits = limits;
    }

    void configureStandalone(int instances) {
        mInstances = instances;
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
        SlidingRetryBudget budget = budget(request.service());
        if (request.retry()) {
            budget.recordRetry(nowNanos);
        } else {
            budget.recordFirstSend(nowNanos);
        }
    }

    /** Returns the use of the budget of a service. */
    public RetryUsage usage(ServiceName service, long nowNanos) {
        return budget(service).usage(mInstances, nowNanos);
    }

    private SlidingRetryBudget budget(ServiceName service) {
        return mBudgets.computeIfAbsent(service, key -> new SlidingRetryBudget(mLimits));
    }
}
