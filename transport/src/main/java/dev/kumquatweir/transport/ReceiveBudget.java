package dev.kumquatweir.transport;

/** Memory that half-received frames of all connections may take. Used by one thread. */
final class ReceiveBudget {
    private final long mLimitBytes;
    private long mUsedBytes;

    ReceiveBudget(long limitBytes) {
        mLimitBytes = limitBytes;
    }

    /** Takes memory, or returns false and takes none. */
    boolean acquire(long bytes) {
        if (mUsedBytes + bytes > mLimitBytes) {
            return false;
        }
        mUsedBytes += bytes;
        return true;
    }

    /** Gives memory back that was acquired before. */
    void release(long bytes) {
        mUsedBytes -= bytes;
    }

    long limitBytes() {
        return mLimitBytes;
    }

    long usedBytes() {
        return mUsedBytes;
    }
}
