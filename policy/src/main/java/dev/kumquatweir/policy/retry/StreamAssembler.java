package dev.kumquatweir.policy.retry;

import dev.kumquatweir.core.identity.AttemptId;
import org.jspecify.annotations.Nullable;

/**
 * Assembles one answer from the streams of successive attempts, so that each token reaches the
 * caller exactly once and in order. Indexes count from the start of the whole answer, also after a
 * resume. Not thread-safe: owned by the duty that carries the stream.
 */
public final class StreamAssembler {
    private final StringBuilder mText = new StringBuilder();
    private @Nullable AttemptId mCurrent;
    private long mDelivered;
    private boolean mComplete;

    /**
     * Makes an attempt the current one; words of all others are dropped from now on.
     *
     * @return the offset from which the attempt has to resume
     */
    public long begin(AttemptId attempt) {
        mCurrent = attempt;
        return mDelivered;
    }

    /** Drops the current attempt, for example because it was fenced. */
    public void drop() {
        mCurrent = null;
    }

    /** Takes a token. */
    public StreamStep acceptToken(AttemptId attempt, long index, String text) {
        if (!attempt.equals(mCurrent)) {
            return new StreamStep.NotCurrent();
        }
        if (index < mDelivered) {
            return new StreamStep.Duplicate();
        }
        if (index > mDelivered) {
            mCurrent = null;
            return new StreamStep.Gap(mDelivered, index);
        }
        mText.append(text);
        mDelivered++;
        return new StreamStep.Deliver(index);
    }

    /**
     * Takes the end of a stream.
     *
     * @param completionTokens length of the whole answer as the engine states it
     */
    public StreamStep finish(AttemptId attempt, long completionTokens) {
        if (!attempt.equals(mCurrent)) {
            return new StreamStep.NotCurrent();
        }
        mCurrent = null;
        if (completionTokens != mDelivered) {
            return new StreamStep.Gap(mDelivered, completionTokens);
        }
        mComplete = true;
        return new StreamStep.Complete(mDelivered);
    }

    /** Returns the number of tokens that the caller has. */
    public long deliveredTokens() {
        return mDelivered;
    }

    /** Returns the text that the caller has, as a resume needs it. */
    public String text() {
        return mText.toString();
    }

    /** Returns whether the answer is whole; only then may its end be sent to the caller. */
    public boolean complete() {
        return mComplete;
    }
}
