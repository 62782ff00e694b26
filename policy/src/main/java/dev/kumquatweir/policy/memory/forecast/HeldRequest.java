package dev.kumquatweir.policy.memory.forecast;

/**
 * The memory that a request holds on one engine: tokens that are known, and an answer whose length
 * is not. Owned by one {@link MemoryForecast}; not thread-safe.
 */
public final class HeldRequest {
    private final double mFixedTokens;
    private final double mFixedTokensOnceStarted;
    private final OutputDistribution mOutput;
    private boolean mStarted;
    private double mStartedAtProgress;
    private OutputDistribution.Moments mMoments;

    HeldRequest(long fixedTokens, long fixedTokensOnceStarted, OutputDistribution output) {
        mFixedTokens = (double) fixedTokens;
        mFixedTokensOnceStarted = (double) fixedTokensOnceStarted;
        mOutput = output;
        mMoments = output.longerThan(0);
    }

    /** Records that the answer has started, at the progress of the engine. */
    void start(double progressTokens) {
        mStarted = true;
        mStartedAtProgress = progressTokens;
    }

    /** Considers what it has generated up to the progress of the engine. */
    void update(double progressTokens) {
        if (mStarted) {
            mMoments = mOutput.longerThan(generatedTokens(progressTokens));
        }
    }

    double fixedTokens() {
        return mStarted ? mFixedTokensOnceStarted : mFixedTokens;
    }

    double meanTokens() {
        return mMoments.mean();
    }

    /** Returns the variance that averages out over requests. */
    double ownVariance() {
        return mMoments.variance() * (1 - mOutput.commonShare());
    }

    /** Returns the deviation that requests have in common. */
    double commonDeviation() {
        return Math.sqrt(mMoments.variance() * mOutput.commonShare());
    }

    /** Returns the most tokens of the answer, infinity if no limit is known. */
    double limitTokens() {
        return mOutput.limitTokens();
    }

    /** Returns the tokens that it is still expected to generate; all of them before it starts. */
    double remainingTokens(double progressTokens) {
        return mMoments.mean() - (mStarted ? generatedTokens(progressTokens) : 0);
    }

    private double generatedTokens(double progressTokens) {
        return Math.min(mOutput.limitTokens(), progressTokens - mStartedAtProgress);
    }
}
