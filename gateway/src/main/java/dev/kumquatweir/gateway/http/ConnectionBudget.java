package dev.kumquatweir.gateway.http;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory that all connections of a process share for incomplete heads, held requests and unread
 * responses. A small part of each connection is not counted, so that connections with much unread
 * data don't stop the others. Thread-safe.
 */
final class ConnectionBudget {
    /** Bytes of each connection that are not counted: above an ordinary head. */
    static final long UNCOUNTED_BYTES = 32 << 10;

    /** Part of the whole budget that connections of one address may use. */
    private static final int ADDRESS_SHARE = 2;

    private final long mLimitBytes;
    private final AtomicLong mUsedBytes = new AtomicLong();
    private final ConcurrentMap<String, Long> mUsedByAddress = new ConcurrentHashMap<>();

    /**
     * @param limitBytes sum above which connections with more than their uncounted part aren't read
     */
    ConnectionBudget(long limitBytes) {
        mLimitBytes = limitBytes;
    }

    /** Changes the bytes of a connection from an address. */
    void change(String address, long fromBytes, long toBytes) {
        long more = counted(toBytes) - counted(fromBytes);
        if (more != 0) {
            mUsedBytes.addAndGet(more);
            mUsedByAddress.compute(
                    address,
                    (key, used) -> {
                        long sum = (used == null ? 0 : used) + more;
                        return sum == 0 ? null : sum;
                    });
        }
    }

    /** Returns whether a connection that holds so many bytes may be read. */
    boolean mayRead(String address, long heldBytes) {
        return counted(heldBytes) == 0
                || (mUsedBytes.get() < mLimitBytes
                        && mUsedByAddress.getOrDefault(address, 0L) < mLimitBytes / ADDRESS_SHARE);
    }

    /** Returns whether the budget is used up. */
    boolean full() {
        return mUsedBytes.get() >= mLimitBytes;
    }

    /** Returns the bytes in use. */
    long usedBytes() {
        return mUsedBytes.get();
    }

    private static long counted(long bytes) {
        return Math.max(0, bytes - UNCOUNTED_BYTES);
    }
}
