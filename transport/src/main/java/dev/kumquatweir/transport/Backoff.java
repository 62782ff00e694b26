package dev.kumquatweir.transport;

import java.util.SplittableRandom;

/**
 * Decides when a lost connection is dialled again: the delay doubles up to a limit and is spread at
 * random, so that many instances do not dial a restarted one together. Used by one thread.
 */
final class Backoff {
    private static final int MAXIMUM_DOUBLINGS = 20;

    private final long mFirstNanos;
    private final long mLimitNanos;
    private final SplittableRandom mRandom;
    private int mFailures;
    private long mDueNanos;

    Backoff(long firstNanos, long limitNanos, long seed, long nowNanos) {
        mFirstNanos = firstNanos;
        mLimitNanos = limitNanos;
        mRandom = new SplittableRandom(seed);
        mDueNanos = nowNanos;
    }

    /**
     * Notes that a connection ended or could not be made.
     *
     * @param stableNanos how long it was authenticated; a connection that lasted longer than the
     *     largest delay starts the delays over, a shorter one does not, so that a peer that accepts
     *     and closes at once is not dialled in a tight loop
     */
    void failed(long stableNanos, long nowNanos) {
        mFailures = stableNanos > mLimitNanos ? 0 : Math.min(mFailures + 1, MAXIMUM_DOUBLINGS);
        long delay = Math.min(mLimitNanos, mFirstNanos << mFailures);
        mDueNanos = nowNanos + delay / 2 + mRandom.nextLong(delay / 2 + 1);
    }

    /** Allows dialling at once. */
    void reset(long nowNanos) {
        mFailures = 0;
        mDueNanos = nowNanos;
    }

    /** Returns how long to wait before dialling; zero or less means now. */
    long waitNanos(long nowNanos) {
        return mDueNanos - nowNanos;
    }
}
