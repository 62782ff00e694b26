package dev.kumquatweir.transport;

/** Bounds the log lines about one recurring failure. Used by one thread. */
final class LogLimiter {
    private final long mIntervalNanos;
    private String mLastCode = "";
    private long mLastNanos;
    private long mSuppressed;

    LogLimiter(long intervalNanos) {
        mIntervalNanos = intervalNanos;
    }

    /**
     * Returns whether to log: the code differs from the last one logged, or the interval has
     * passed.
     */
    boolean permits(String code, long nowNanos) {
        if (code.equals(mLastCode) && nowNanos - mLastNanos < mIntervalNanos) {
            mSuppressed++;
            return false;
        }
        mLastCode = code;
        mLastNanos = nowNanos;
        return true;
    }

    /** Returns how many lines were left out since the last call. */
    long takeSuppressed() {
        long suppressed = mSuppressed;
        mSuppressed = 0;
        return suppressed;
    }
}
