package dev.kumquatweir.policy.reach;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether an instance is cut off from all upstreams. New connections decide: kept ones may
 * hang, or live on while new ones are refused. Failures of requests are only a reason to try some
 * upstreams; the instance is cut off if none of these can be connected to. Not thread-safe.
 */
public final class UpstreamReach {
    /** Distinct upstreams that can't be connected to; one alone may be down. */
    private static final int FAILED_UPSTREAMS = 2;

    private static final long FAILURE_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A sound upstream may be silent for a second; all of them rarely are for half of one. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long TRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** After a try that succeeded, silence alone is no reason for another one for this time. */
    private static final long SILENCE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A path that comes and goes must not move callers each time. */
    private static final int SUCCESSES_TO_RETURN = 2;

    private final Map<UpstreamId, Long> mFailedNanos = new HashMap<>();
    private long mLastReceivedNanos;
    private long mLastTryNanos;
    private boolean mTrying;
    private boolean mCutOff;
    private int mSuccesses;

    /**
     * @param nowNanos present time
     */
    public UpstreamReach(long nowNanos) {
        mLastReceivedNanos = nowNanos;
        mLastTryNanos = nowNanos - SILENCE_INTERVAL_NANOS;
    }

    /** Records bytes from an upstream. */
    public void received(long nowNanos) {
        mLastReceivedNanos = nowNanos;
    }

    /** Records that a connection for a request could not be made. */
    public void connectFailed(UpstreamId upstream, long nowNanos) {
        mFailedNanos.put(upstream, nowNanos);
    }

    /**
     * Returns whether upstreams have to be tried now.
     *
     * @param waitingSinceNanos when the request was sent that has waited longest for its first
     *     bytes, {@link Long#MAX_VALUE} if none waits
     */
    public boolean isTryDue(long waitingSinceNanos, long nowNanos) {
        if (mTrying || nowNanos - mLastTryNanos < TRY_INTERVAL_NANOS) {
            return false;
        }
        return mCutOff || hasFailures(nowNanos) || isSilent(waitingSinceNanos, nowNanos);
    }

    /** Records that upstreams are being tried. */
    public void tryBegun(long nowNanos) {
        mTrying = true;
        mLastTryNanos = nowNanos;
    }

    /**
     * Records the end of a try.
     *
     * @param tried number of upstreams that were tried
     * @param connected whether one of them could be connected to
     * @return whether the instance has become cut off or has returned
     */
    public boolean tryEnded(int tried, boolean connected) {
        mTrying = false;
        boolean before = mCutOff;
        if (connected) {
            mFailedNanos.clear();
            mSuccesses++;
            mCutOff = mCutOff && mSuccesses < SUCCESSES_TO_RETURN;
        } else if (tried >= FAILED_UPSTREAMS) {
            mSuccesses = 0;
            mCutOff = true;
        }
        return before != mCutOff;
    }

    /** Returns whether no upstream can be reached. */
    public boolean cutOff() {
        return mCutOff;
    }

    private boolean hasFailures(long nowNanos) {
        mFailedNanos.values().removeIf(failed -> nowNanos - failed > FAILURE_AGE_NANOS);
        return mFailedNanos.size() >= FAILED_UPSTREAMS;
    }

    private boolean isSilent(long waitingSinceNanos, long nowNanos) {
        return waitingSinceNanos != Long.MAX_VALUE
                && nowNanos - waitingSinceNanos >= SILENCE_NANOS
                && nowNanos - mLastReceivedNanos >= SILENCE_NANOS
                && nowNanos - mLastTryNanos >= SILENCE_INTERVAL_NANOS;
    }
}
