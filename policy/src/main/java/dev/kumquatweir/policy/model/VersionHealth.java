package dev.kumquatweir.policy.model;

/** Counts the outcomes of requests on one version. Not thread-safe: part of {@link Rollout}. */
final class VersionHealth {
    private long mSucceeded;
    private long mFailed;
    private long mLate;

    void ended(boolean succeeded, boolean late) {
        mSucceeded += succeeded ? 1 : 0;
        mFailed += succeeded ? 0 : 1;
        mLate += late ? 1 : 0;
    }

    void reset() {
        mSucceeded = 0;
        mFailed = 0;
        mLate = 0;
    }

    long requests() {
        return mSucceeded + mFailed;
    }

    long failed() {
        return mFailed;
    }

    long late() {
        return mLate;
    }

    double failedShare() {
        return requests() == 0 ? 0 : mFailed / (double) requests();
    }

    double lateShare() {
        return requests() == 0 ? 0 : mLate / (double) requests();
    }
}
