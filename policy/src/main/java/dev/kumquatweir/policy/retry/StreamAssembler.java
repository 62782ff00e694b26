package dev.kumquatweir.policy.retry;

import dev.kumquatweir.core.identity.AttemptId;
import org.jspecify.annotations.Nullable;

/**
 * Assembles one answer from the streams of successive attempts, so that the caller receives each
 * token exactly once and in order. Token indexes are relative to the start of the whole answer,
 * also after a resume. Not thread-safe: owned by the duty that forwards the stream.
 */
public final class StreamAssembler {
    private final StringBuilder mText = new StringBuilder();
    private @Nullable AttemptId mCurrent;
    private long mDelivered;
    private boolean mComplete;

    /**
     * Sets the current attempt. Tokens of all other attempts are dropped from now on.
     *
     * @return the offset from which the attempt has to resume
     */
    public long begin(AttemptId attempt) {
        mCurrent = attempt;
        return mDelivered;
    }

    /** Clears the current attempt, for example because it was fenced. */
    public void drop() {
        mCurrent = null;
    }

    /** Processes a token that arrived. */
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
     * Processes the end of a stream.
     *
     * @param completionTokens length of the whole answer as reported by the engine
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

    /** Returns the number of tokens delivered to the caller. */
    public long deliveredTokens() {
        return mDelivered;
    }

    /** Returns the text delivered to the caller, which is needed to resume. */
    public String text() {
        return mText.toString();
    }

    /** Returns whether the answer is complete. Its end must not be sent to the caller before. */
    public boolean complete() {
        return mComplete;
    }
}
