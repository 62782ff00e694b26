package dev.kumquatweir.policy.memory.forecast;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Forecast of the tokens that one engine holds when each of its requests is at its longest. Not
 * thread-safe.
 *
 * <p>The output tokens of all requests together are taken as log-normal, with the mean and the
 * variance of the sum (Fenton and Wilkinson). Deviations of single requests average out; those that
 * requests have in common are added up. A request counts until it is removed, also if it takes far
 * longer than its output explains, as one whose caller reads slowly.
 */
public final class MemoryForecast {
    /** Interval of updates, below which an answer grows by one or two events. */
    private static final long UPDATE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final double mDeviations;
    private final Set<HeldRequest> mHeld = new LinkedHashSet<>();
    private double mFixedTokens;
    private double mMeanTokens;
    private double mOwnVariance;
    private double mCommonDeviation;
    private double mLimitTokens;
    private double mProgressTokens;
    private double mTokensPerMilli;
    private long mUpdatedNanos;
    private boolean mUpdated;
    private boolean mStale;

    MemoryForecast(double deviations) {
        mDeviations = deviations;
    }

    /** Adds what a request holds. */
    public void add(HeldRequest request) {
        mHeld.add(request);
        count(request);
    }

    /** Records that the answer of a request has started, from which on its output grows. */
    public void started(HeldRequest request, long nowNanos) {
        advance(nowNanos);
        request.start(mProgressTokens);
        mStale = true;
    }

    /** Removes what a request held. */
    public void remove(HeldRequest request) {
        if (mHeld.remove(request)) {
            recount();
        }
    }

    /**
     * Considers the output generated since the last update. Does nothing if that was a moment ago.
     *
     * @param tokensPerMilli tokens that each running answer generates at present; not less than the
     *     engine achieves, as longer answers are expected to grow further
     */
    public void update(double tokensPerMilli, long nowNanos) {
        if (mUpdated && !mStale && nowNanos - mUpdatedNanos < UPDATE_NANOS) {
            return;
        }
        advance(nowNanos);
        mTokensPerMilli = tokensPerMilli;
        mStale = false;
        mHeld.forEach(request -> request.update(mProgressTokens));
        recount();
    }

    /** Returns the tokens that its requests hold at most, at the confidence. */
    public double tokens() {
        return mFixedTokens + outputAt(mMeanTokens, mOwnVariance, mCommonDeviation, mLimitTokens);
    }

    /** Returns the tokens that its requests and a further one hold at most, at the confidence. */
    public double tokensWith(HeldRequest further) {
        return mFixedTokens
                + further.fixedTokens()
                + outputAt(
                        mMeanTokens + further.meanTokens(),
                        mOwnVariance + further.ownVariance(),
                        mCommonDeviation + further.commonDeviation(),
                        mLimitTokens + further.limitTokens());
    }

    /** Returns the tokens of those requests that are expected to end within a time. */
    public double releasedWithin(double millis) {
        double released = 0;
        for (HeldRequest request : mHeld) {
            double remaining = request.remainingTokens(mProgressTokens);
            if (remaining <= millis * mTokensPerMilli) {
                released += request.fixedTokens() + request.meanTokens();
            }
        }
        return released;
    }

    private void advance(long nowNanos) {
        long elapsedNanos = mUpdated ? Math.max(0, nowNanos - mUpdatedNanos) : 0;
        mProgressTokens += elapsedNanos / NANOS_PER_MILLI * mTokensPerMilli;
        mUpdatedNanos = nowNanos;
        mUpdated = true;
    }

    private double outputAt(
            double mean, double ownVariance, double commonDeviation, double limitTokens) {
        if (mean <= 0) {
            return 0;
        }
        double variance = ownVariance + commonDeviation * commonDeviation;
        double logVariance = Math.log1p(variance / (mean * mean));
        double quantile = mean * Math.exp(mDeviations * Math.sqrt(logVariance) - logVariance / 2);
        return Math.min(limitTokens, Math.max(mean, quantile));
    }

    private void recount() {
        mFixedTokens = 0;
        mMeanTokens = 0;
        mOwnVariance = 0;
        mCommonDeviation = 0;
        mLimitTokens = 0;
        mHeld.forEach(this::count);
    }

    private void count(HeldRequest request) {
        mFixedTokens += request.fixedTokens();
        mMeanTokens += request.meanTokens();
        mOwnVariance += request.ownVariance();
        mCommonDeviation += request.commonDeviation();
        mLimitTokens += request.limitTokens();
    }
}
