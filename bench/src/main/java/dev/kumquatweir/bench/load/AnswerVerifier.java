package dev.kumquatweir.bench.load;

import dev.kumquatweir.standin.model.StandinTokens;
import java.util.Optional;
import java.util.function.LongPredicate;

/**
 * Compares an answer, token by token, with what the stand-in must give for its prompt. Not
 * thread-safe.
 */
final class AnswerVerifier {
    private final long mSeed;
    private final long mExpectedTokens;
    private final OtherAnswers mOthers;
    private final StringBuilder mRest = new StringBuilder();
    private long mTokens;
    private boolean mDone;
    private Optional<Violation> mViolation = Optional.empty();

    /** The other requests of the run. */
    interface OtherAnswers {
        /** Returns whether one of the other seeds fits. */
        boolean anyMatch(long seed, LongPredicate fits);
    }

    AnswerVerifier(long seed, long maximumTokens, OtherAnswers others) {
        mSeed = seed;
        mExpectedTokens = StandinTokens.answerLength(seed, maximumTokens);
        mOthers = others;
    }

    /** Takes the next part of the answer. */
    void text(String part) {
        if (mDone && !part.isEmpty()) {
            found(Violation.DOUBLED);
        }
        mRest.append(part);
        int position = 0;
        while (mRest.length() - position >= StandinTokens.TOKEN_CHARACTERS) {
            String token = mRest.substring(position, position + StandinTokens.TOKEN_CHARACTERS);
            verify(token);
            position += StandinTokens.TOKEN_CHARACTERS;
        }
        mRest.delete(0, position);
    }

    /** Takes the sign that the answer is whole. */
    void done() {
        if (mDone) {
            found(Violation.DOUBLED);
        }
        mDone = true;
        if (!mRest.isEmpty() || mTokens < mExpectedTokens) {
            found(Violation.TRUNCATED);
        }
    }

    boolean isDone() {
        return mDone;
    }

    long tokens() {
        return mTokens;
    }

    /** Returns the first violation. */
    Optional<Violation> violation() {
        return mViolation;
    }

    private void verify(String token) {
        boolean fits =
                mTokens < mExpectedTokens && StandinTokens.text(mSeed, mTokens).equals(token);
        if (!fits && mViolation.isEmpty()) {
            found(classify(token));
        }
        mTokens++;
    }

    private Violation classify(String token) {
        if (isToken(mSeed, token, 0, mTokens)) {
            return Violation.DOUBLED;
        }
        if (isToken(mSeed, token, mTokens, mExpectedTokens)) {
            return Violation.TRUNCATED;
        }
        long longest = Math.max(mExpectedTokens, mTokens + 1);
        boolean crossed = mOthers.anyMatch(mSeed, other -> isToken(other, token, 0, longest));
        return crossed ? Violation.CROSSED : Violation.CORRUPT;
    }

    private static boolean isToken(long seed, String token, long from, long until) {
        for (long index = from; index < until; index++) {
            if (StandinTokens.text(seed, index).equals(token)) {
                return true;
            }
        }
        return false;
    }

    private void found(Violation violation) {
        if (mViolation.isEmpty()) {
            mViolation = Optional.of(violation);
        }
    }
}
