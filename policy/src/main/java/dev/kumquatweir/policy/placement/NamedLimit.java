package dev.kumquatweir.policy.placement;

import java.util.concurrent.TimeUnit;

/**
 * The limit that one upstream names, and the requests started under it. Owned by {@link
 * PlacementUpstream}; not thread-safe.
 */
final class NamedLimit {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Unused tokens are kept for a quarter of a second's requests, at least for one. */
    private static final double KEPT_SECONDS = 0.25;

    private static final double MAXIMUM_TOKENS = 4;

    /** Longest time between two requests, for limits near zero. */
    private static final double MAXIMUM_INTERVAL_NANOS = TimeUnit.HOURS.toNanos(1);

    private double mPerSecond;
    private long mHeardNanos;
    private double mTokens;
    private long mCountedNanos;
    private boolean mStarted;
    private long mLastWindow;

    /** Begins without tokens: what was started before isn't known to every scheduler. */
    NamedLimit(double perSecond, long nowNanos) {
        mPerSecond = perSecond;
        mHeardNanos = nowNanos;
        mCountedNanos = nowNanos;
    }

    double perSecond() {
        return mPerSecond;
    }

    /** Returns when it was last named. */
    long heardNanos() {
        return mHeardNanos;
    }

    /**
     * Applies a limit that was named again. A higher one has to belong to a request that was sent
     * after the present one was heard, since responses overtake each other.
     */
    void name(double perSecond, long sentNanos, long nowNanos) {
        if (perSecond <= mPerSecond || isNews(sentNanos)) {
            mPerSecond = perSecond;
            mHeardNanos = nowNanos;
        }
    }

    /** Returns whether a request was sent after the limit was last named. */
    boolean isNews(long sentNanos) {
        return sentNanos - mHeardNanos > 0;
    }

    /** Returns whether another request may start. */
    boolean allows(LimitShare share, long nowNanos) {
        return switch (share) {
            case LimitShare.Part part when isRare(part) -> isInOwnWindow(part, nowNanos);
            case LimitShare.Part _, LimitShare.Whole _ -> {
                count(share, nowNanos);
                yield mTokens >= 1;
            }
        };
    }

    /** Records a request that starts. */
    void started(LimitShare share, long nowNanos) {
        count(share, nowNanos);
        mTokens = Math.max(0, mTokens - 1);
        if (share instanceof LimitShare.Part part) {
            mStarted = true;
            mLastWindow = window(part, nowNanos);
        }
    }

    private void count(LimitShare share, long nowNanos) {
        double perSecond = share.perSecond(mPerSecond);
        double maximum = Math.max(1, Math.min(MAXIMUM_TOKENS, KEPT_SECONDS * perSecond));
        double seconds = (nowNanos - mCountedNanos) / NANOS_PER_SECOND;
        mTokens = Math.min(maximum, mTokens + seconds * perSecond);
        mCountedNanos = nowNanos;
    }

    /**
     * Returns whether a share is below one request per second. Tokens that many idle instances save
     * up would then be spent at once.
     */
    private boolean isRare(LimitShare.Part part) {
        return part.perSecond(mPerSecond) < 1;
    }

    /** Returns whether it is this instance's turn, and it has started nothing in it. */
    private boolean isInOwnWindow(LimitShare.Part part, long nowNanos) {
        double position = position(part, nowNanos);
        boolean used = mStarted && mLastWindow == window(part, nowNanos);
        double length = LimitShare.Part.USED_SHARE / part.instances();
        return position - Math.floor(position) < length && !used;
    }

    private long window(LimitShare.Part part, long nowNanos) {
        return (long) Math.floor(position(part, nowNanos));
    }

    /** Returns the time as a number of turns, of which each instance has one window. */
    private double position(LimitShare.Part part, long nowNanos) {
        double turnNanos =
                Math.min(MAXIMUM_INTERVAL_NANOS, NANOS_PER_SECOND / part.perSecond(mPerSecond));
        return nowNanos / turnNanos + part.phase();
    }
}
