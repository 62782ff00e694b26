package dev.kumquatweir.policy.retry;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket that bounds retries and hedges to a share of successful requests. A slow constant
 * refill allows retries in an idle or completely failed fleet without causing a retry storm. Not
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

    /**
     * Returns a builder for a budget of one retry per ten successes plus 0.5 retries/s, with a
     * capacity of 20.
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Adds the budget earned by one successful request. */
    public void recordSuccess(long nowNanos) {
        refill(nowNanos);
        mTokens = Math.min(mCapacity, mTokens + mSuccessShare);
    }

    /** Withdraws one retry; returns false and leaves the budget unchanged if none is available. */
    public boolean withdraw(long nowNanos) {
        refill(nowNanos);
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    /** Returns the number of available retries. */
    public double available(long nowNanos) {
        refill(nowNanos);
        return mTokens;
    }

    /** Returns when one retry will be available if no request succeeds before. */
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

        /** Sets the retries earned by one success, 0 to 1. */
        public Builder successShare(double value) {
            mSuccessShare = value;
            return this;
        }

        /** Sets the constant refill in retries per second; more than 0. */
        public Builder refillPerSecond(double value) {
            mRefillPerSecond = value;
            return this;
        }

        /** Sets the maximum number of available retries; at least 1. */
        public Builder capacity(double value) {
            mCapacity = value;
            return this;
        }

        /** Builds a full budget. */
        public RetryBudget build(long nowNanos) {
            if (mSuccessShare < 0 || mSuccessShare > 1 || mRefillPerSecond <= 0 || mCapacity < 1) {
                throw new IllegalArgumentException(
                        "retry budget: success share 0 to 1, refill above 0, capacity from 1");
            }
            return new RetryBudget(this, nowNanos);
        }
    }
}
