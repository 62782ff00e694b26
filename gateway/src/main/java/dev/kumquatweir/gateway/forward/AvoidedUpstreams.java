package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

/**
 * Upstreams that have told this instance in their responses to send them nothing: those that leave,
 * and those that asked for a pause. Not thread-safe.
 */
public final class AvoidedUpstreams {
    private static final int MAXIMUM_ENTRIES = 10_000;

    private final Map<UpstreamId, Long> mLeavingStarts = new HashMap<>();
    private final Map<UpstreamId, Long> mPausedUntilNanos = new HashMap<>();

    /**
     * Records what a response says.
     *
     * @param startMillis start of the upstream, which distinguishes it from a later one of this id
     */
    public void record(
            UpstreamId upstream, UpstreamResponseHead head, long startMillis, long nowNanos) {
        if (head.leaving() && mLeavingStarts.size() < MAXIMUM_ENTRIES) {
            mLeavingStarts.put(upstream, startMillis);
        }
        if (head.pauseMillis() > 0 && mPausedUntilNanos.size() < MAXIMUM_ENTRIES) {
            mPausedUntilNanos.merge(
                    upstream,
                    nowNanos + TimeUnit.MILLISECONDS.toNanos(head.pauseMillis()),
                    (known, until) -> until - known > 0 ? until : known);
        }
    }

    /** Returns whether an upstream must not get requests now. */
    public boolean avoids(UpstreamId upstream, long startMillis, long nowNanos) {
        Long leavingStart = mLeavingStarts.get(upstream);
        Long pausedUntilNanos = mPausedUntilNanos.get(upstream);
        return (leavingStart != null && startMillis <= leavingStart)
                || (pausedUntilNanos != null && nowNanos - pausedUntilNanos < 0);
    }

    /**
     * Returns the upstreams that must not get requests now.
     *
     * @param startMillis returns the known start of an upstream, 0 if it is not known
     */
    public Set<UpstreamId> avoided(ToLongFunction<UpstreamId> startMillis, long nowNanos) {
        if (mLeavingStarts.isEmpty() && mPausedUntilNanos.isEmpty()) {
            return Set.of();
        }
        Set<UpstreamId> avoided = new HashSet<>(mLeavingStarts.keySet());
        avoided.addAll(mPausedUntilNanos.keySet());
        avoided.removeIf(
                upstream -> !avoids(upstream, startMillis.applyAsLong(upstream), nowNanos));
        return avoided;
    }

    /** Forgets pauses that are over, and leaving upstreams that are known no more. */
    public void expire(Set<UpstreamId> known, long nowNanos) {
        mPausedUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
        mLeavingStarts.keySet().retainAll(known);
    }
}
