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
 * Decides whether, where and when a request is tried again. A request that may not be repeated is
 * only tried again if each of its attempts is proved not to have run. Not thread-safe: owned by the
 * dispatch duty, shares its budget with {@link HedgePolicy}.
 */
public final class RetryPolicy {
    private final RetryBudget mBudget;
    private final int mMaximumBroken;
    private final long mExclusionNanos;
    private final long mBaseDelayNanos;
    private final long mMaximumDelayNanos;

    private RetryPolicy(Builder builder, RetryBudget budget) {
        mBudget = budget;
        mMaximumBroken = builder.mMaximumBroken;
        mExclusionNanos = builder.mExclusionNanos;
        mBaseDelayNanos = builder.mBaseDelayNanos;
        mMaximumDelayNanos = builder.mMaximumDelayNanos;
    }

    /**
     * Starts a policy that gives up after 4 broken attempts, avoids a failed upstream for 30 s and
     * waits 20 ms to 1 s before all but the first retry. Refused attempts are not counted: a long
     * document that finds no room goes on asking until its deadline.
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Decides what follows the last attempt of a request.
     *
     * @param request the request
     * @param ends how its attempts ended, oldest first, at least one
     * @param deliveredTokens tokens that the caller has
     * @param estimatedNanos estimated time of another attempt until the whole answer
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
        if (unsafe || broken >= mMaximumBroken) {
            return new RetryDecision.GiveUp(
                    new RequestFailure.UpstreamFailed(last.upstream(), problem(last), ran));
        }
        long notBefore = nowNanos + delayNanos(request, ends);
        if (notBefore + estimatedNanos - request.deadlineNanos() > 0) {
            return new RetryDecision.GiveUp(new RequestFailure.DeadlineExceeded(ran));
        }
        // A refused attempt cost the upstream nothing; the delay bounds it.
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

    /** The first retry starts at once, so that one lost engine costs a stream little. */
    private long delayNanos(WorkRequest request, List<AttemptEnd> ends) {
        if (ends.size() == 1) {
            return 0;
        }
        int doublings = Math.min(20, ends.size() - 2);
        long ceiling = Math.min(mMaximumDelayNanos, mBaseDelayNanos << doublings);
        // The jitter comes from the request's name, so that a decision can be repeated exactly.
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
        private int mMaximumBroken = 4;
        private long mExclusionNanos = TimeUnit.SECONDS.toNanos(30);
        private long mBaseDelayNanos = TimeUnit.MILLISECONDS.toNanos(20);
        private long mMaximumDelayNanos = TimeUnit.SECONDS.toNanos(1);

        private Builder() {}

        /** Sets how many attempts of a request may break off before it fails. */
        public Builder maximumBrokenAttempts(int value) {
            mMaximumBroken = value;
            return this;
        }

        /** Sets how long a request keeps away from an upstream that failed it. */
        public Builder exclusionNanos(long value) {
            mExclusionNanos = value;
            return this;
        }

        /** Sets the first delay between attempts and the longest one. */
        public Builder delayNanos(long base, long maximum) {
            mBaseDelayNanos = base;
            mMaximumDelayNanos = maximum;
            return this;
        }

        /** Returns the policy, which takes its retries from the given budget. */
        public RetryPolicy build(RetryBudget budget) {
            return new RetryPolicy(this, budget);
        }
    }
}
