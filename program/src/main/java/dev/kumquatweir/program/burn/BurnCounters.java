package dev.kumquatweir.program.burn;

import java.util.Arrays;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Counters of one instance by profile and minute, for three days. Memory is bounded: further
 * profiles beyond the limit are counted together. Time is the wall clock, since the counters
 * outlive the process. Thread-safe.
 */
public final class BurnCounters {
    /** Minutes that are kept. */
    public static final int RETENTION_MINUTES = 3 * 24 * 60;

    /** Name that further profiles are counted under. */
    public static final String OTHER_PROFILES = "other-profiles";

    static final long MINUTE_MILLIS = 60_000;
    private static final int MAXIMUM_PROFILES = 64;

    private final Map<String, MinuteRing> mRings = new TreeMap<>();

    /** One profile's minutes; a slot belongs to the minute that was last written to it. */
    private static final class MinuteRing {
        private final long[] mMinutes = new long[RETENTION_MINUTES];
        private final int[][] mCounts = new int[RETENTION_MINUTES][];

        int[] slot(long minute) {
            int index = (int) (minute % RETENTION_MINUTES);
            int[] counts = mCounts[index];
            if (counts == null || mMinutes[index] < minute) {
                counts = new int[BurnCount.values().length];
                mCounts[index] = counts;
                mMinutes[index] = minute;
            }
            return counts;
        }

        SortedMap<Long, int[]> between(long firstMinute, long lastMinute) {
            SortedMap<Long, int[]> countsByMinute = new TreeMap<>();
            for (int index = 0; index < RETENTION_MINUTES; index++) {
                boolean inRange = mMinutes[index] >= firstMinute && mMinutes[index] <= lastMinute;
                int[] counts = mCounts[index];
                if (inRange && counts != null) {
                    countsByMinute.put(mMinutes[index], counts);
                }
            }
            return countsByMinute;
        }
    }

    /** Counts one event. */
    public synchronized void add(String profile, BurnCount count, long nowMillis) {
        ring(profile).slot(nowMillis / MINUTE_MILLIS)[count.position()]++;
    }

    /** Adds what was counted before, for example by the process before a restart. */
    public synchronized void add(String profile, long minute, BurnCounts counts) {
        int[] slot = ring(profile).slot(minute);
        for (int index = 0; index < slot.length; index++) {
            slot[index] += (int) Math.min(counts.values().get(index), Integer.MAX_VALUE / 2);
        }
    }

    /**
     * Returns the minutes of each profile that has any.
     *
     * @param minutes how many minutes up to now, the present one included
     */
    public synchronized SortedMap<String, SortedMap<Long, BurnCounts>> minutes(
            int minutes, long nowMillis) {
        long last = nowMillis / MINUTE_MILLIS;
        long first = last - Math.min(minutes, RETENTION_MINUTES) + 1;
        SortedMap<String, SortedMap<Long, BurnCounts>> minutesByProfile = new TreeMap<>();
        mRings.forEach(
                (profile, ring) -> {
                    SortedMap<Long, BurnCounts> counts = new TreeMap<>();
                    ring.between(first, last)
                            .forEach(
                                    (minute, numbers) ->
                                            counts.put(
                                                    minute,
                                                    BurnCounts.of(
                                                            Arrays.copyOf(
                                                                    numbers, numbers.length))));
                    if (!counts.isEmpty()) {
                        minutesByProfile.put(profile, counts);
                    }
                });
        return minutesByProfile;
    }

    private MinuteRing ring(String profile) {
        String name =
                mRings.containsKey(profile) || mRings.size() < MAXIMUM_PROFILES
                        ? profile
                        : OTHER_PROFILES;
        return mRings.computeIfAbsent(name, unused -> new MinuteRing());
    }
}
