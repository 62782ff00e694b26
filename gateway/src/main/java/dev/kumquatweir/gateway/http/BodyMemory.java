package dev.kumquatweir.gateway.http;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Memory shared by the bodies that an instance holds at the same time. Small bodies need none of
 * it, so that large ones can't make them fail. Thread-safe.
 */
public final class BodyMemory {
    /** Bodies up to this size need no reservation. */
    public static final int UNRESERVED_BYTES = 64 << 10;

    private final long mLimitBytes;
    private final LongSupplier mOtherBytes;
    private final AtomicLong mUsedBytes = new AtomicLong();

    /**
     * @param limitBytes sum of all reservations at any moment
     */
    public BodyMemory(long limitBytes) {
        this(limitBytes, () -> 0);
    }

    /**
     * @param limitBytes sum of all reservations at any moment
     * @param otherBytes bytes of bodies that others hold, which leave less for reservations
     */
    public BodyMemory(long limitBytes, LongSupplier otherBytes) {
        mLimitBytes = limitBytes;
        mOtherBytes = otherBytes;
    }

    /**
     * Reserves memory for a body that grows, unless that exceeds the limit. Returns whether it was
     * reserved.
     *
     * @param fromBytes size for which memory is reserved already
     * @param toBytes new size
     */
    public boolean grow(long fromBytes, long toBytes) {
        long missing = reserved(toBytes) - reserved(fromBytes);
        long used = mUsedBytes.addAndGet(missing);
        if (missing > 0 && used + mOtherBytes.getAsLong() > mLimitBytes) {
            mUsedBytes.addAndGet(-missing);
            return false;
        }
        return true;
    }

    /** Reserves memory for a body that is held already, also beyond the limit. */
    public void reserve(long sizeBytes) {
        mUsedBytes.addAndGet(reserved(sizeBytes));
    }

    /** Releases the memory of a body. */
    public void release(long sizeBytes) {
        shrink(sizeBytes, 0);
    }

    /** Releases memory of a body of which a part is no longer held. */
    public void shrink(long fromBytes, long toBytes) {
        mUsedBytes.addAndGet(reserved(toBytes) - reserved(fromBytes));
    }

    /** Returns the sum of all reservations. */
    public long usedBytes() {
        return mUsedBytes.get();
    }

    private static long reserved(long sizeBytes) {
        return sizeBytes <= UNRESERVED_BYTES ? 0 : sizeBytes;
    }
}
