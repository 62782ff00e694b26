package dev.kumquatweir.policy.retry;

import dev.kumquatweir.core.configuration.RequestClass;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether to hedge a slow attempt. Hedges only short repeatable requests that have received
 * no token, at most once per request and within the retry budget. Not thread-safe: owned by the
 * dispatch duty.
 */
public final class HedgePolicy {
    private final RetryBudget mBudget;
    private final long mMaximumPromptTokens;
    private final double mDelayFactor;
    private final long mMinimumDelayNanos;
    private final double mReservedRetries;

    private HedgePolicy(Builder builder, RetryBudget budget) {
        mBudget = budget;
        mMaximumPromptTokens = builder.mMaximumPromptTokens;
        mDelayFactor = builder.mDelayFactor;
        mMinimumDelayNanos = builder.mMinimumDelayNanos;
        mReservedRetries = builder.mReservedRetries;
    }

    /**
     * Returns a builder for a policy that hedges prompts of up to 4,096 tokens after 3 times the
     * expected time to first token, but not before 300 ms, and reserves 5 retries of the budget for
     * failures.
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Decides for a running attempt.
     *
     * @param request the request
     * @param running progress of its attempt
     * @param estimatedNanos estimated time until a second attempt would complete the answer
     * @param nowNanos the current time
     */
    public HedgeDecision decide(
            WorkRequest request, AttemptProgress running, long estimatedNanos, long nowNanos) {
        if (!request.repeatable()) {
            return new HedgeDecision.Never(HedgeDecision.Reason.NOT_REPEATABLE);
        }
        if (request.profile().requestClass() != RequestClass.SHORT
                || request.promptTokens() > mMaximumPromptTokens) {
            return new HedgeDecision.Never(HedgeDecision.Reason.NOT_SHORT);
        }
        if (running.suspect()) {
            return new HedgeDecision.Never(HedgeDecision.Reason.SUSPECT);
        }
        if (running.hedged()) {
            return new HedgeDecision.Never(HedgeDecision.Reason.ALREADY_HEDGED);
        }
        if (running.tokens() > 0) {
            return new HedgeDecision.Never(HedgeDecision.Reason.ANSWERING);
        }
        long due = running.startedNanos() + hedgeDelayNanos(running.expectedFirstTokenNanos());
        long earliest = due - nowNanos > 0 ? due : nowNanos;
        if (earliest + estimatedNanos - request.deadlineNanos() > 0) {
            return new HedgeDecision.Never(HedgeDecision.Reason.NO_TIME);
        }
        if (due - nowNanos > 0) {
            return new HedgeDecision.Wait(due);
        }
        if (mBudget.available(nowNanos) < mReservedRetries + 1 || !mBudget.withdraw(nowNanos)) {
            return new HedgeDecision.Wait(nowNanos + mMinimumDelayNanos);
        }
        return new HedgeDecision.Hedge();
    }

    private long hedgeDelayNanos(long expectedNanos) {
        return Math.max(mMinimumDelayNanos, (long) (expectedNanos * mDelayFactor));
    }

    /**
     * Progress of a running attempt. Immutable.
     *
     * @param startedNanos when it was sent
     * @param expectedFirstTokenNanos expected time to first token for this length on its upstream
     * @param tokens tokens received
     * @param hedged whether the request already has or had a second attempt
     * @param suspect whether the request is suspected of crashing upstreams
     */
    public record AttemptProgress(
            long startedNanos,
            long expectedFirstTokenNanos,
            long tokens,
            boolean hedged,
            boolean suspect) {}

    /** Builds a {@link HedgePolicy}. Not thread-safe. */
    public static final class Builder {
        private long mMaximumPromptTokens = 4_096;
        private double mDelayFactor = 3;
        private long mMinimumDelayNanos = TimeUnit.MILLISECONDS.toNanos(300);
        private double mReservedRetries = 5;

        private Builder() {}

        /** Sets the maximum length of a hedged prompt, in tokens. */
        public Builder maximumPromptTokens(long value) {
            mMaximumPromptTokens = value;
            return this;
        }

        /**
         * Sets the delay before a hedge: a multiple of the expected time to first token, and a
         * minimum.
         */
        public Builder hedgeDelay(double factor, long floorNanos) {
            mDelayFactor = factor;
            mMinimumDelayNanos = floorNanos;
            return this;
        }

        /** Sets the number of retries in the budget that hedges must not use. */
        public Builder reservedRetries(double value) {
            mReservedRetries = value;
            return this;
        }

        /** Builds the policy, which charges hedges to the given budget. */
        public HedgePolicy build(RetryBudget budget) {
            return new HedgePolicy(this, budget);
        }
    }
}
