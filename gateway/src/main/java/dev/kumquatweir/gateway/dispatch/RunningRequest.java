package dev.kumquatweir.gateway.dispatch;

import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * One admitted request: joins the current attempt to the caller. Takes tokens of the current
 * attempt only, each once and in order, so that late or crossed answers of earlier attempts never
 * reach the caller. Thread-safe.
 */
final class RunningRequest {
    private final WorkRequest mRequest;
    private final Work mWork;
    private final Exchange mExchange;
    private final long mSendByNanos;
    private final StringBuilder mText = new StringBuilder();
    private @Nullable AttemptId mCurrent;
    private @Nullable Runnable mClose;
    private long mTokens;
    private long mHeardNanos;
    private boolean mHeardToken;
    private long mCachedTokens = -1;
    private int mPossibleExecutions;
    private boolean mEnded;

    /**
     * @param sendByNanos monotonic time after which the request must not be sent any more
     */
    RunningRequest(WorkRequest request, Work work, Exchange exchange, long sendByNanos) {
        mRequest = request;
        mWork = work;
        mExchange = exchange;
        mSendByNanos = sendByNanos;
    }

    WorkRequest request() {
        return mRequest;
    }

    Work work() {
        return mWork;
    }

    boolean maySend(long nowNanos) {
        return nowNanos - mSendByNanos < 0 && nowNanos - mRequest.deadlineNanos() < 0;
    }

    /** Makes an attempt current; whatever arrives for earlier ones is dropped from here on. */
    synchronized void begin(AttemptId attempt) {
        closeConnection();
        mCurrent = attempt;
        mPossibleExecutions++;
        mHeardToken = false;
    }

    /** Keeps what closes the attempt's connection, or closes it if the attempt is over already. */
    synchronized void opened(AttemptId attempt, Runnable close) {
        if (isCurrent(attempt)) {
            mClose = close;
        } else {
            close.run();
        }
    }

    synchronized boolean isCurrent(AttemptId attempt) {
        return !mEnded && attempt.equals(mCurrent);
    }

    /** Returns when the last token of an attempt arrived, empty before its first one. */
    synchronized OptionalLong heardNanos(AttemptId attempt) {
        boolean heard = mHeardToken && attempt.equals(mCurrent);
        return heard ? OptionalLong.of(mHeardNanos) : OptionalLong.empty();
    }

    /** Returns the cached prompt tokens of the attempt that gave the whole answer. */
    synchronized OptionalLong cachedTokens(AttemptId attempt) {
        boolean whole = mEnded && mCachedTokens >= 0 && attempt.equals(mCurrent);
        return whole ? OptionalLong.of(mCachedTokens) : OptionalLong.empty();
    }

    /** Returns the tokens that the caller has. */
    synchronized long tokens() {
        return mTokens;
    }

    synchronized String text() {
        return mText.toString();
    }

    /**
     * Takes a token.
     *
     * @return false if a token before it is missing, so that the attempt has to be given up
     */
    synchronized boolean token(AttemptId attempt, long index, String text, long nowNanos) {
        if (!isCurrent(attempt)) {
            return true;
        }
        mHeardNanos = nowNanos;
        mHeardToken = true;
        if (index > mTokens) {
            return false;
        }
        if (index == mTokens) {
            mTokens++;
            mText.append(text);
            mExchange.token(text);
        }
        return true;
    }

    /**
     * Takes the end of a generation.
     *
     * @return false if the attempt is not current or tokens are missing
     */
    synchronized boolean finished(AttemptId attempt, GenerationSummary summary) {
        if (!isCurrent(attempt) || summary.completionTokens() != mTokens) {
            return false;
        }
        mEnded = true;
        mCachedTokens = summary.cachedTokens();
        mExchange.finished(summary, mText.toString());
        return true;
    }

    /** Takes the answer of a plain service; returns false if the attempt is not current. */
    synchronized boolean answered(AttemptId attempt, RecordedResponse answer) {
        if (!isCurrent(attempt)) {
            return false;
        }
        mEnded = true;
        mExchange.answered(answer);
        return true;
    }

    /** Drops the current attempt, which no upstream has executed, without ending the request. */
    synchronized void refused(AttemptId attempt) {
        if (attempt.equals(mCurrent)) {
            mPossibleExecutions--;
        }
        abandon(attempt);
    }

    /** Returns the failure of a request that runs when the instance stops. */
    synchronized RequestFailure stopFailure() {
        return mPossibleExecutions == 0
                ? new RequestFailure.Draining()
                : new RequestFailure.InstanceStopped(Executed.UNKNOWN);
    }

    /** Ends the request with a failure, unless it has ended. */
    synchronized void failed(RequestFailure failure) {
        closeConnection();
        if (!mEnded) {
            mEnded = true;
            mExchange.failed(failure);
        }
    }

    /** Drops the current attempt without ending the request. */
    synchronized void abandon(AttemptId attempt) {
        if (attempt.equals(mCurrent)) {
            closeConnection();
            mCurrent = null;
        }
    }

    private void closeConnection() {
        Runnable close = mClose;
        mClose = null;
        if (close != null) {
            close.run();
        }
    }
}
