package dev.kumquatweir.policy.retry;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket that bounds retries and hedges to a share of successful requests. A slow fixed
 * refill lets the last requests of an idle or wholly failed fleet try again, without a storm. Not
 * thread-safe: owned by the dispatch duty.
 */
public final class RetryBudget {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final double mSuccessShare;
    private final double mRefillPerSecond;
    private final double mCapacity;
    private double mTokens;
    private long mRefilledNanos;

    private RetryBudget(Builder builder, long nowNanos) {
        mSuccessShare = builder.mSuccessShare;
        mRefillPerSecond = builder.mRefillPerSecond;
        mCapacity = builder.mCapacity;
        mTokens = builder.mCapacity;
        mRefilledNanos = nowNanos;
    }

    /** Starts a budget of one retry for ten successes, 0.5 retries/s and at most 20 saved. */
    public static Builder builder() {
        return new Builder();
    }

    /** Adds the share of one successful request. */
    public void recordSuccess(long nowNanos) {
        refill(nowNanos);
        mTokens = Math.min(mCapacity, mTokens + mSuccessShare);
    }

    /** Takes one retry from the budget; returns false, and takes nothing, if there is none. */
    public boolean withdraw(long nowNanos) {
        refill(nowNanos);
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    /** Returns how many retries are left. */
    public double available(long nowNanos) {
        refill(nowNanos);
        return mTokens;
    }

    /** Returns the latest time at which one retry will be available, without any success. */
    public long nextAvailableNanos(long nowNanos) {
        refill(nowNanos);
        double missing = Math.max(0, 1 - mTokens);
        return nowNanos + (long) Math.ceil(missing / mRefillPerSecond * NANOS_PER_SECOND);
    }

    private void refill(long nowNanos) {
        long elapsed = nowNanos - mRefilledNanos;
        if (elapsed > 0) {
            double added = elapsed / NANOS_PER_SECOND * mRefillPerSecond;
            mTokens = Math.min(mCapacity, mTokens + added);
            mRefilledNanos = nowNanos;
        }
    }

    /** Builds a {@link RetryBudget}. Not thread-safe. */
    public static final class Builder {
        private double mSuccessShare = 0.1;
        private double mRefillPerSecond = 0.5;
        private double mCapacity = 20;

        private Builder() {}

        /** Sets the retries that one success pays for, 0 to 1. */
        public Builder successShare(double value) {
            mSuccessShare = value;
            return this;
        }

        /** Sets the retries per second that are added without any success; more than 0. */
        public Builder refillPerSecond(double value) {
            mRefillPerSecond = value;
            return this;
        }

        /** Sets how many retries may be saved up; at least 1. */
        public Builder capacity(double value) {
            mCapacity = value;
            return this;
        }

        /** Returns a full budget. */
        public RetryBudget build(long nowNanos) {
            if (mSuccessShare < 0 || mSuccessShare > 1 || mRefillPerSecond <= 0 || mCapacity < 1) {
                throw new IllegalArgumentException(
                        "retry budget: success share 0 to 1, refill above 0, capacity from 1");
            }
            return new RetryBudget(this, nowNanos);
        }
    }
}
