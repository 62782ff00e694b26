package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.identity.AttemptId;

/**
 * What an attempt of this instance occupies on one upstream. Not thread-safe: owned by the dispatch
 * duty.
 */
public final class AttemptReservation {
    private final AttemptId mAttempt;
    private final LengthClass mLength;
    private final long mPrefillTokens;
    private final long mMemoryTokens;
    private final long mPlacedNanos;
    private boolean mPrefilled;

    /**
     * Makes a hold.
     *
     * @param attempt the attempt
     * @param length length class of its prompt
     * @param prefillTokens prompt tokens to be processed, 0 on a partner that only lends memory
     * @param memoryTokens KV cache memory reserved
     * @param placedNanos when it was placed
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

    /** Notes that the first token has arrived, so that no prompt tokens are left. */
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

    /** Returns the prompt tokens that are not yet processed, as far as is known. */
    public long pendingTokens() {
        return mPrefilled ? 0 : mPrefillTokens;
    }

    /** Returns the memory reserved. */
    public long memoryTokens() {
        return mMemoryTokens;
    }

    /** Returns when it was placed. */
    public long placedNanos() {
        return mPlacedNanos;
    }
}
