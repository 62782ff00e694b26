package dev.kumquatweir.policy.placement;

/** The part of one placement that occupies one upstream. Not thread-safe. */
final class PlacedWork {
    private final PlacementRequest mRequest;
    private final boolean mAnswers;
    private final double mReadMillis;
    private final long mMemoryTokens;
    private final long mGrantedNanos;
    private final long mExpectedNanos;
    private boolean mStarted;
    private boolean mLate;

    /**
     * @param request the request
     * @param answers whether the upstream answers it, or only reads or holds a part
     * @param readMillis estimated time to read its part of the prompt there
     * @param memoryTokens tokens that it holds there
     * @param grantedNanos when it was placed
     * @param expectedNanos when its first event is expected
     */
    PlacedWork(
            PlacementRequest request,
            boolean answers,
            double readMillis,
            long memoryTokens,
            long grantedNanos,
            long expectedNanos) {
        mRequest = request;
        mAnswers = answers;
        mReadMillis = readMillis;
        mMemoryTokens = memoryTokens;
        mGrantedNanos = grantedNanos;
        mExpectedNanos = expectedNanos;
    }

    PlacementRequest request() {
        return mRequest;
    }

    boolean answers() {
        return mAnswers;
    }

    double readMillis() {
        return mReadMillis;
    }

    long memoryTokens() {
        return mMemoryTokens;
    }

    long grantedNanos() {
        return mGrantedNanos;
    }

    long expectedNanos() {
        return mExpectedNanos;
    }

    boolean started() {
        return mStarted;
    }

    void start() {
        mStarted = true;
    }

    /** Returns whether its answer can't be on time any more, so that delaying it costs nothing. */
    boolean late() {
        return mLate;
    }

    void markLate() {
        mLate = true;
    }
}
