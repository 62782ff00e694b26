package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.configuration.RequestClass;
import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Recovery policy with a retry budget that grows with admitted requests. Long requests are retried
 * even without budget, since losing one wastes as much work as many short requests. Not
 * thread-safe.
 */
public final class SimpleRecovery implements RecoveryPolicy {
    private static final double BUDGET_PER_REQUEST = 0.2;

    /**
     * Covers the running requests of an instance in one failure domain when that domain is lost.
     */
    private static final double MAXIMUM_BUDGET = 100;

    private static final int MAXIMUM_BREAKS = 4;
    private static final long REFUSAL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long MAXIMUM_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private double mBudget = MAXIMUM_BUDGET;

    @Override
    public Optional<RequestFailure> refusal(WorkRequest request, long nowNanos) {
        return Optional.empty();
    }

    @Override
    public void admitted(WorkRequest request, long nowNanos) {
        mBudget = Math.min(MAXIMUM_BUDGET, mBudget + BUDGET_PER_REQUEST);
    }

    @Override
    public Decision refused(
            FailedAttempt attempt, AttemptEvent.RefusalReason reason, long nowNanos) {
        long delay = Math.min(MAXIMUM_DELAY_NANOS, REFUSAL_DELAY_NANOS * (attempt.refusals() - 1));
        return new Decision.Again(nowNanos + delay, Set.of(attempt.upstream()), Set.of());
    }

    @Override
    public Decision broken(FailedAttempt attempt, AttemptEvent.BreakCause how, long nowNanos) {
        boolean overdraws = attempt.request().profile().requestClass() == RequestClass.LONG;
        if (attempt.breaks() >= MAXIMUM_BREAKS || (mBudget < 1 && !overdraws)) {
            String problem = how.name().toLowerCase(Locale.ROOT);
            return new Decision.GiveUp(
                    new RequestFailure.UpstreamFailed(
                            attempt.upstream(), problem, Executed.UNKNOWN));
        }
        mBudget = Math.max(0, mBudget - 1);
        return new Decision.Again(nowNanos, Set.of(attempt.upstream()), Set.of(attempt.domain()));
    }

    @Override
    public void finished(WorkRequest request, AttemptId attempt, long nowNanos) {
        // The budget grows on admission, not on completion.
    }
}
