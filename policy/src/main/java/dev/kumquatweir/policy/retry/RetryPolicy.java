package dev.kumquatweir.policy.retry;

import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether, when and on which upstreams to retry a request. A request that must not be
 * repeated is retried only if none of its attempts can have executed. Not thread-safe: owned by the
 * dispatch duty. Shares its budget with {@link HedgePolicy}.
 */
public final class RetryPolicy {
    private final RetryBudget mBudget;
    private final int mMaximumBrokenAttempts;
    private final long mExclusionNanos;
    private final long mBaseDelayNanos;
    private final long mMaximumDelayNanos;

    private RetryPolicy(Builder builder, RetryBudget budget) {
        mBudget = budget;
        mMaximumBrokenAttempts = builder.mMaximumBrokenAttempts;
        mExclusionNanos = builder.mExclusionNanos;
        mBaseDelayNanos = builder.mBaseDelayNanos;
        mMaximumDelayNanos = builder.mMaximumDelayNanos;
    }

    /**
     * Returns a builder for a policy that gives up after 4 broken attempts, excludes a failed
     * upstream for 30 s and delays every retry but the first by 20 ms to 1 s. Refused attempts do
     * not count: a long request that finds no capacity is retried until its deadline.
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Decides about a request after its last attempt ended.
     *
     * @param request the request
     * @param ends how its attempts ended, oldest first, at least one
     * @param deliveredTokens tokens delivered to the caller
     * @param estimatedNanos estimated time until another attempt would complete the answer
     * @param nowNanos the current time
     */
    public RetryDecision decide(
            WorkRequest request,
            List<AttemptEnd> ends,
            long deliveredTokens,
            long estimatedNanos,
            long nowNanos) {
        AttemptEnd last = ends.getLast();
        int broken = 0;
        for (AttemptEnd end : ends) {
            broken += end instanceof AttemptEnd.MayHaveRun ? 1 : 0;
        }
        Executed ran = ran(broken, deliveredTokens);
        boolean unsafe = broken > 0 && !request.repeatable();
        if (unsafe || broken >= mMaximumBrokenAttempts) {
            return new RetryDecision.GiveUp(
                    new RequestFailure.UpstreamFailed(last.upstream(), problem(last), ran));
        }
        long notBefore = nowNanos + delayNanos(request, ends);
        if (notBefore + estimatedNanos - request.deadlineNanos() > 0) {
            return new RetryDecision.GiveUp(new RequestFailure.DeadlineExceeded(ran));
        }
        // Retries after a refusal need no budget: they cost the upstream no work, and the delay
        // limits their rate.
        if (last instanceof AttemptEnd.MayHaveRun && !mBudget.withdraw(nowNanos)) {
            long until = mBudget.nextAvailableNanos(nowNanos);
            return until + estimatedNanos - request.deadlineNanos() > 0
                    ? new RetryDecision.GiveUp(
                            new RequestFailure.UpstreamFailed(
                                    last.upstream(), "the retry budget is empty", ran))
                    : new RetryDecision.Wait(until);
        }
        return retry(ends, notBefore, deliveredTokens, nowNanos);
    }

    private RetryDecision.Retry retry(
            List<AttemptEnd> ends, long notBefore, long deliveredTokens, long nowNanos) {
        Set<UpstreamId> excluded = new HashSet<>();
        Set<UpstreamId> lastResort = new HashSet<>();
        Set<FailureDomain> avoided = new HashSet<>();
        for (AttemptEnd end : ends) {
            if (nowNanos - end.endedNanos() >= mExclusionNanos) {
                continue;
            }
            switch (end) {
                case AttemptEnd.MayHaveRun broken -> {
                    excluded.add(broken.upstream());
                    avoided.add(broken.domain());
                }
                case AttemptEnd.NotRun refused -> {
                    switch (refused.reason()) {
                        case MEMORY_FULL, COLD_LIMIT -> lastResort.add(refused.upstream());
                        case CONNECTION_REFUSED, UNKNOWN_MODEL, DRAINING ->
                                excluded.add(refused.upstream());
                        case NOT_SENT -> avoided.add(refused.domain());
                    }
                }
            }
        }
        lastResort.removeAll(excluded);
        return new RetryDecision.Retry(notBefore, deliveredTokens, excluded, lastResort, avoided);
    }

    /**
     * The first retry starts immediately, so that the loss of one engine interrupts a stream only
     * briefly.
     */
    private long delayNanos(WorkRequest request, List<AttemptEnd> ends) {
        if (ends.size() == 1) {
            return 0;
        }
        int doublings = Math.min(20, ends.size() - 2);
        long ceiling = Math.min(mMaximumDelayNanos, mBaseDelayNanos << doublings);
        // The jitter is derived from the request id, so that decisions are reproducible.
        int hash = request.id().hashCode() * 31 + ends.size();
        double jitter = ((hash * 0x9E3779B9) >>> 8) / (double) (1 << 24);
        return (long) (ceiling * (0.5 + jitter / 2));
    }

    private static Executed ran(int broken, long deliveredTokens) {
        if (deliveredTokens > 0) {
            return Executed.YES;
        }
        return broken == 0 ? Executed.NO : Executed.UNKNOWN;
    }

    private static String problem(AttemptEnd end) {
        return switch (end) {
            case AttemptEnd.NotRun refused -> problem(refused.reason());
            case AttemptEnd.MayHaveRun broken -> problem(broken.how());
        };
    }

    private static String problem(AttemptEvent.RefusalReason reason) {
        return switch (reason) {
            case CONNECTION_REFUSED -> "the connection was refused";
            case MEMORY_FULL -> "the engine has no memory for it";
            case COLD_LIMIT -> "the upstream is cold and takes no more";
            case UNKNOWN_MODEL -> "the model is not loaded there";
            case DRAINING -> "the upstream takes no new work";
            case NOT_SENT -> "sending was forbidden at the last check";
        };
    }

    private static String problem(AttemptEvent.BreakCause how) {
        return switch (how) {
            case CONNECTION_LOST -> "the connection was lost";
            case SILENT -> "the connection went silent";
            case UPSTREAM_ERROR -> "the upstream failed after it had started";
            case UPSTREAM_GONE -> "the upstream died or restarted";
        };
    }

    /** Builds a {@link RetryPolicy}. Not thread-safe. */
    public static final class Builder {
        private int mMaximumBrokenAttempts = 4;
        private long mExclusionNanos = TimeUnit.SECONDS.toNanos(30);
        private long mBaseDelayNanos = TimeUnit.MILLISECONDS.toNanos(20);
        private long mMaximumDelayNanos = TimeUnit.SECONDS.toNanos(1);

        private Builder() {}

        /** Sets the number of broken attempts after which a request fails. */
        public Builder maximumBrokenAttempts(int value) {
            mMaximumBrokenAttempts = value;
            return this;
        }

        /** Sets how long a request avoids an upstream on which an attempt failed. */
        public Builder exclusionNanos(long value) {
            mExclusionNanos = value;
            return this;
        }

        /** Sets the initial and the maximum delay between attempts. */
        public Builder delayNanos(long base, long maximum) {
            mBaseDelayNanos = base;
            mMaximumDelayNanos = maximum;
            return this;
        }

        /** Builds the policy, which charges retries to the given budget. */
        public RetryPolicy build(RetryBudget budget) {
            return new RetryPolicy(this, budget);
        }
    }
}
