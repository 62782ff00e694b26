package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.identity.AttemptId;

/**
 * The capacity that an attempt of this instance occupies on one upstream. Not thread-safe: owned by
 * the dispatch duty.
 */
public final class AttemptReservation {
    private final AttemptId mAttempt;
    private final LengthClass mLength;
    private final long mPrefillTokens;
    private final long mMemoryTokens;
    private final long mPlacedNanos;
    private boolean mPrefilled;

    /**
     * Creates a reservation.
     *
     * @param attempt the attempt
     * @param length length class of its prompt
     * @param prefillTokens prompt tokens to process, 0 on a partner that only provides memory
     * @param memoryTokens reserved KV cache memory, in tokens
     * @param placedNanos time of the placement
     */
    public AttemptReservation(
            AttemptId attempt,
            LengthClass length,
            long prefillTokens,
            long memoryTokens,
            long placedNanos) {
        mAttempt = attempt;
        mLength = length;
        mPrefillTokens = prefillTokens;
        mMemoryTokens = memoryTokens;
        mPlacedNanos = placedNanos;
    }

    /** Records that the first token has arrived, so that no prompt tokens are pending. */
    public void markPrefilled() {
        mPrefilled = true;
    }

    /** Returns the attempt. */
    public AttemptId attempt() {
        return mAttempt;
    }

    /** Returns the length class of the prompt. */
    public LengthClass length() {
        return mLength;
    }

    /** Returns the prompt tokens that are not known to be processed. */
    public long pendingTokens() {
        return mPrefilled ? 0 : mPrefillTokens;
    }

    /** Returns the reserved KV cache memory, in tokens. */
    public long memoryTokens() {
        return mMemoryTokens;
    }

    /** Returns the time of the placement. */
    public long placedNanos() {
        return mPlacedNanos;
    }
}
