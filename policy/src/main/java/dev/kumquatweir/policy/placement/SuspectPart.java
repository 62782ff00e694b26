package dev.kumquatweir.policy.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The strikes of one part of prompts since its last complete answer. Owned by {@link
 * CrashSuspects}; not thread-safe.
 */
final class SuspectPart {
    private static final int MAXIMUM_STRIKES = 16;

    /** Time after the last crash in which a quarantined part is not probed. */
    private static final long FIRST_HOLD_NANOS = TimeUnit.MINUTES.toNanos(5);

    private static final long MAXIMUM_HOLD_NANOS = TimeUnit.HOURS.toNanos(1);

    private final String mPart;
    private final Map<UpstreamLife, Strike> mStrikes = new LinkedHashMap<>();
    private long mHoldNanos = FIRST_HOLD_NANOS;
    private boolean mConvicted;

    private record Strike(long nanos, boolean independent) {}

    SuspectPart(String part) {
        mPart = part;
    }

    String part() {
        return mPart;
    }

    /**
     * Adds a strike. Requests that run at the same time may fail for one common reason, so that a
     * strike is independent only if the request was placed after the previous independent one.
     */
    void strike(UpstreamLife life, long placedNanos, long nowNanos) {
        OptionalLong previousNanos =
                mStrikes.entrySet().stream()
                        .filter(entry -> !entry.getKey().equals(life))
                        .filter(entry -> entry.getValue().independent())
                        .mapToLong(entry -> entry.getValue().nanos())
                        .max();
        boolean independent =
                previousNanos.isEmpty() || placedNanos - previousNanos.getAsLong() >= 0;
        if (mConvicted && nowNanos - lastNanos() >= mHoldNanos) {
            mHoldNanos = Math.min(MAXIMUM_HOLD_NANOS, 2 * mHoldNanos);
        }
        mStrikes.merge(
                life,
                new Strike(nowNanos, independent),
                (known, added) ->
                        new Strike(known.nanos(), known.independent() || added.independent()));
        if (mStrikes.size() > MAXIMUM_STRIKES) {
            mStrikes.remove(mStrikes.keySet().iterator().next());
        }
    }

    /**
     * Adds the strikes that another scheduler has counted.
     *
     * @param name name of its finding; the same finding is added once
     * @param count number of strikes
     * @param crashedNanos time of the last crash
     */
    void addStrikes(String name, int count, long crashedNanos) {
        for (int number = 0; number < count; number++) {
            mStrikes.merge(
                    new UpstreamLife(name, number),
                    new Strike(crashedNanos, true),
                    (known, added) -> known.nanos() - added.nanos() >= 0 ? known : added);
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

    /** Returns the time after the last strike in which it is not probed. */
    long holdNanos() {
        return mHoldNanos;
    }

    boolean convicted() {
        return mConvicted;
    }

    void setConvicted(boolean convicted) {
        mConvicted = convicted;
    }

    /** Returns the time of the last strike. */
    long lastNanos() {
        return mStrikes.values().stream().mapToLong(Strike::nanos).max().orElse(0);
    }
}
