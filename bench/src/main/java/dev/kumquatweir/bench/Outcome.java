package dev.kumquatweir.bench;

import dev.kumquatweir.core.failure.RequestFailure;
import org.jspecify.annotations.Nullable;

/** What became of one request of the schedule. */
final class Outcome {
    final Arrival mArrival;
    boolean mAdmitted;
    @Nullable RequestFailure mFailure;
    long mFirstTokenNanos = -1;
    long mLastTokenNanos = -1;
    long mFinishedNanos = -1;
    long mTokens;
    int mStarts;
    int mExecutions;

    Outcome(Arrival arrival) {
        mArrival = arrival;
    }

    /** Returns whether the whole answer arrived in time. */
    boolean inTime() {
        return mFinishedNanos >= 0 && mFinishedNanos <= mArrival.deadlineNanos();
    }

    /** Returns whether the request has ended in some way. */
    boolean ended() {
        return mFinishedNanos >= 0 || mFailure != null;
    }
}
