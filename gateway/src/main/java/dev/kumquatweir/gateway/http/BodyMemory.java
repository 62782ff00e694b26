package dev.kumquatweir.gateway.http;

import java.util.concurrent.atomic.AtomicLong;

/** Memory shared by the bodies that an instance collects at the same time. Thread-safe. */
public final class BodyMemory {
    private final long mLimitBytes;
    private final AtomicLong mUsedBytes = new AtomicLong();

    /**
     * @param limitBytes sum of all reservations at any moment
     */
    public BodyMemory(long limitBytes) {
        mLimitBytes = limitBytes;
    }

    /** Reserves memory, unless that exceeds the limit. Returns whether it was reserved. */
    public boolean reserve(long bytes) {
        long used = mUsedBytes.addAndGet(bytes);
        if (used > mLimitBytes) {
            mUsedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Returns memory that was reserved. */
    public void release(long bytes) {
        mUsedBytes.addAndGet(-bytes);
    }

    /** Returns the sum of all reservations. */
    public long usedBytes() {
        return mUsedBytes.get();
    }
}
