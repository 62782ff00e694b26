package dev.kumquatweir.policy.retry;

import dev.kumquatweir.core.configuration.RequestClass;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether a slow attempt gets a second one. Only for short repeatable work without a token
 * so far, once for each request and within the retry budget. Not thread-safe: owned by the dispatch
 * duty.
 */
public final class HedgePolicy {
    private final RetryBudget mBudget;
    private final long mMaximumPromptTokens;
    private final double mFactor;
    private final long mFloorNanos;
    private final double mReserve;

    private HedgePolicy(Builder builder, RetryBudget budget) {
        mBudget = budget;
        mMaximumPromptTokens = builder.mMaximumPromptTokens;
        mFactor = builder.mFactor;
        mFloorNanos = builder.mFloorNanos;
        mReserve = builder.mReserve;
    }

    /**
     * Starts a policy for prompts up to 4,096 tokens that hedges after 3 times the expected time to
     * first token, at least 300 ms, and leaves 5 retries of the budget to real failures.
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Decides for a running attempt.
     *
     * @param request the request
     * @param running its attempt as it stands
     * @param estimatedNanos estimated time of a second attempt until the whole answer
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
        long due = running.startedNanos() + patienceNanos(running.expectedFirstTokenNanos());
        long earliest = due - nowNanos > 0 ? due : nowNanos;
        if (earliest + estimatedNanos - request.deadlineNanos() > 0) {
            return new HedgeDecision.Never(HedgeDecision.Reason.NO_TIME);
        }
        if (due - nowNanos > 0) {
            return new HedgeDecision.Wait(due);
        }
        if (mBudget.available(nowNanos) < mReserve + 1 || !mBudget.withdraw(nowNanos)) {
            return new HedgeDecision.Wait(nowNanos + mFloorNanos);
        }
        return new HedgeDecision.Hedge();
    }

    private long patienceNanos(long expectedNanos) {
        return Math.max(mFloorNanos, (long) (expectedNanos * mFactor));
    }

    /**
     * An attempt that runs. Immutable.
     *
     * @param startedNanos when it was sent
     * @param expectedFirstTokenNanos learned time to first token on its upstream for its length
     * @param tokens tokens that arrived
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
        private double mFactor = 3;
        private long mFloorNanos = TimeUnit.MILLISECONDS.toNanos(300);
        private double mReserve = 5;

        private Builder() {}

        /** Sets the longest prompt that is hedged, in tokens. */
        public Builder maximumPromptTokens(long value) {
            mMaximumPromptTokens = value;
            return this;
        }

        /** Sets the multiple of the expected time to first token to wait, and the least wait. */
        public Builder hedgeDelay(double factor, long floorNanos) {
            mFactor = factor;
            mFloorNanos = floorNanos;
            return this;
        }

        /** Sets how many retries of the budget hedges leave untouched. */
        public Builder reservedRetries(double value) {
            mReserve = value;
            return this;
        }

        /** Returns the policy, which takes its hedges from the given budget. */
        public HedgePolicy build(RetryBudget budget) {
            return new HedgePolicy(this, budget);
        }
    }
}
