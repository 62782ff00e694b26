package dev.kumquatweir.policy.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The strikes of one part of prompts since its last complete answer. Owned by {@link
 * CrashSuspects}; not thread-safe.
 */
final class SuspectPart {
    private static final int MAXIMUM_STRIKES = 16;

    private final String mPart;
    private final Map<UpstreamLife, Strike> mStrikes = new LinkedHashMap<>();

    private record Strike(long nanos, boolean independent) {}

    SuspectPart(String part) {
        mPart = part;
    }

    String part() {
        return mPart;
    }

    /**
     * Adds a strike. Requests that run at the same time may fail for one common reason, so that a
     * strike is independent only if the request was placed after the previous strike.
     */
    void strike(UpstreamLife life, long placedNanos, long nowNanos) {
        boolean independent = mStrikes.isEmpty() || placedNanos - lastNanos() >= 0;
        mStrikes.putIfAbsent(life, new Strike(nowNanos, independent));
        if (mStrikes.size() > MAXIMUM_STRIKES) {
            mStrikes.remove(mStrikes.keySet().iterator().next());
        }
    }

    /** Takes back the strike on an upstream if its age is in the given range. */
    boolean takeBack(UpstreamLife life, long minimumNanos, long maximumNanos, long nowNanos) {
        Strike strike = mStrikes.get(life);
        if (strike == null) {
            return false;
        }
        long ageNanos = nowNanos - strike.nanos();
        return ageNanos >= minimumNanos
                && ageNanos <= maximumNanos
                && mStrikes.remove(life, strike);
    }

    boolean isEmpty() {
        return mStrikes.isEmpty();
    }

    /** Returns the number of independent strikes. */
    int strikes() {
        return strikesExcept(Set.of());
    }

    /** Returns the number of independent strikes on upstreams other than the given ones. */
    int strikesExcept(Set<UpstreamLife> explained) {
        return (int)
                mStrikes.entrySet().stream()
                        .filter(entry -> entry.getValue().independent())
                        .filter(entry -> !explained.contains(entry.getKey()))
                        .count();
    }

    /** Returns the upstreams on which it has a strike. */
    Set<UpstreamLife> upstreams() {
        return mStrikes.keySet();
    }

    /** Returns the time of the last strike. */
    long lastNanos() {
        return mStrikes.values().stream().mapToLong(Strike::nanos).max().orElse(0);
    }
}
