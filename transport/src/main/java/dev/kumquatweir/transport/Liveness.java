package dev.kumquatweir.transport;

/**
 * Decides when a connection sends a ping and when it counts as silent. Times are monotonic
 * nanoseconds given by the caller. Used by one thread.
 *
 * <p>The dialling side pings at each interval. The accepting side answers and pings only when it
 * has sent nothing for one and a half intervals: a dialler that spends seconds on writing one large
 * frame still receives bytes, and an idle connection carries no second ping.
 */
final class Liveness {
    /** What to do now. */
    enum Action {
        /** Nothing is due. */
        NONE,
        /** Send a ping. */
        PING,
        /** Close the connection. */
        CLOSE
    }

    private final long mPingNanos;
    private final long mSilenceNanos;
    private final boolean mDialler;
    private long mLastReceivedNanos;
    private long mNextPingNanos;

    Liveness(boolean dialler, long pingNanos, long silenceNanos, long nowNanos) {
        mDialler = dialler;
        mPingNanos = dialler ? pingNanos : pingNanos + pingNanos / 2;
        mSilenceNanos = silenceNanos;
        mLastReceivedNanos = nowNanos;
        mNextPingNanos = nowNanos + mPingNanos;
    }

    /** Notes that bytes arrived. */
    void received(long nowNanos) {
        mLastReceivedNanos = nowNanos;
    }

    /** Notes that bytes were written. */
    void sent(long nowNanos) {
        if (!mDialler) {
            mNextPingNanos = nowNanos + mPingNanos;
        }
    }

    /** Decides what is due; a returned ping counts as sent. */
    Action check(long nowNanos) {
        if (silentNanos(nowNanos) >= mSilenceNanos) {
            return Action.CLOSE;
        }
        if (nowNanos - mNextPingNanos >= 0) {
            mNextPingNanos = nowNanos + mPingNanos;
            return Action.PING;
        }
        return Action.NONE;
    }

    /** Returns how long nothing has been received. */
    long silentNanos(long nowNanos) {
        return nowNanos - mLastReceivedNanos;
    }

    /** Returns how long to wait before the next check. */
    long waitNanos(long nowNanos) {
        long untilPing = mNextPingNanos - nowNanos;
        long untilSilent = mSilenceNanos - silentNanos(nowNanos);
        return Math.min(untilPing, untilSilent);
    }
}
