package dev.kumquatweir.standin.model;

/** One accepted request. Not thread-safe. */
final class RunningAttempt {
    final GenerateRequest mRequest;
    final long mSeed;
    final long mOrder;
    final long mPromptTokens;
    final long mCachedTokens;
    final long mReservedTokens;
    final long mDeadlineNanos;
    final long mAnswerTokens;
    long mPrefillLeft;
    long mNextIndex;
    boolean mInBatch;

    /** When a finished attempt of prefill only is dropped; meaningful only if it is retained. */
    long mRetainedUntilNanos;

    boolean mRetained;

    RunningAttempt(
            GenerateRequest request,
            long seed,
            long order,
            long cachedTokens,
            long reservedTokens,
            long deadlineNanos) {
        mRequest = request;
        mSeed = seed;
        mOrder = order;
        mPromptTokens = StandinTokens.promptTokens(request.prompt());
        mCachedTokens = cachedTokens;
        mReservedTokens = reservedTokens;
        mDeadlineNanos = deadlineNanos;
        mAnswerTokens = StandinTokens.answerLength(seed, request.maxTokens());
        mNextIndex = firstIndex(request);
        mPrefillLeft = Math.max(0, mPromptTokens + mNextIndex - cachedTokens);
    }

    boolean prefillDone() {
        return mPrefillLeft == 0;
    }

    boolean answerDone() {
        return prefillDone() && mNextIndex >= mAnswerTokens;
    }

    /** Returns whether no token of this attempt has been generated yet. */
    boolean beginsAnswer() {
        return mNextIndex == firstIndex(mRequest);
    }

    boolean decoding() {
        return prefillDone() && mNextIndex < mAnswerTokens;
    }

    EngineEvent.Finished finished() {
        boolean stopped = StandinTokens.naturalLength(mSeed) <= mRequest.maxTokens();
        return new EngineEvent.Finished(
                mRequest.attempt(),
                stopped ? "stop" : "length",
                mPromptTokens,
                mCachedTokens,
                mAnswerTokens);
    }

    private static long firstIndex(GenerateRequest request) {
        GenerateRequest.Resume resume = request.resume();
        return resume == null ? 0 : resume.offset();
    }
}
