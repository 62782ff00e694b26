package dev.kumquatweir.transport;

import java.util.HashMap;
import java.util.Map;

/** Bounds the log lines about recurring failures. Used by one thread. */
final class LogLimiter {
    private final long mIntervalNanos;
    private final Map<String, Long> mLastNanos = new HashMap<>();
    private long mSuppressed;

    LogLimiter(long intervalNanos) {
        mIntervalNanos = intervalNanos;
    }

    /** Returns whether to log: once in each interval for each code of a failure. */
    boolean permits(String code, long nowNanos) {
        Long last = mLastNanos.get(code);
        if (last != null && nowNanos - last < mIntervalNanos) {
            mSuppressed++;
            return false;
        }
        mLastNanos.put(code, nowNanos);
        return true;
    }

    /** Returns how many lines were left out since the last call. */
    long takeSuppressed() {
        long suppressed = mSuppressed;
        mSuppressed = 0;
        return suppressed;
    }
}
