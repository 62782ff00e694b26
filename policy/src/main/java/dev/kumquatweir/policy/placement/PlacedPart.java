package dev.kumquatweir.policy.placement;

/**
 * The share of one placement that one upstream processes. Owned by {@link PlacementUpstream}; not
 * thread-safe.
 */
final class PlacedPart {
    private final PlacementRequest mRequest;
    private final boolean mPrimary;
    private final double mPrefillMillis;
    private final long mMemoryTokens;
    private final long mGrantedNanos;
    private final long mFirstEventNanos;
    private boolean mAnswerStarted;
    private long mStartedNanos;
    private boolean mLate;
    private long mEventCount;

    /**
     * @param request the request
     * @param primary whether the upstream generates the answer; otherwise it only prefills or
     *     stores a part
     * @param prefillMillis estimated prefill time of the part
     * @param memoryTokens KV cache tokens that it occupies
     * @param grantedNanos time of the placement
     * @param firstEventNanos expected time of the first event
     */
    PlacedPart(
            PlacementRequest request,
            boolean primary,
            double prefillMillis,
            long memoryTokens,
            long grantedNanos,
            long firstEventNanos) {
        mRequest = request;
        mPrimary = primary;
        mPrefillMillis = prefillMillis;
        mMemoryTokens = memoryTokens;
        mGrantedNanos = grantedNanos;
        mFirstEventNanos = firstEventNanos;
    }

    PlacementRequest request() {
        return mRequest;
    }

    boolean primary() {
        return mPrimary;
    }

    double prefillMillis() {
        return mPrefillMillis;
    }

    long memoryTokens() {
        return mMemoryTokens;
    }

    long grantedNanos() {
        return mGrantedNanos;
    }

    long firstEventNanos() {
        return mFirstEventNanos;
    }

    boolean started() {
        return mAnswerStarted;
    }

    void start(long nowNanos) {
        mAnswerStarted = true;
        mStartedNanos = nowNanos;
    }

    /** Returns the time of the first event; valid if the answer has started. */
    long startedNanos() {
        return mStartedNanos;
    }

    /** Returns whether the answer is already late, so that a further delay loses no value. */
    boolean late() {
        return mLate;
    }

    void markLate() {
        mLate = true;
    }

    /** Returns how many events the upstream sent, 0 until that is known at the end. */
    long eventCount() {
        return mEventCount;
    }

    void recordEventCount(long events) {
        mEventCount = events;
    }
}
