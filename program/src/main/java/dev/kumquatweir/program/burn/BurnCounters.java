package dev.kumquatweir.program.burn;

import java.util.Arrays;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Counts request outcomes of one instance by profile and minute and retains them for three days.
 * Memory is bounded: profiles beyond a limit share their counters. Times are those of the wall
 * clock, since the counters outlive the process. Thread-safe.
 */
public final class BurnCounters {
    /** Number of minutes for which counters are retained. */
    public static final int RETENTION_MINUTES = 3 * 24 * 60;

    /** Name under which profiles beyond the limit are counted. */
    public static final String OTHER_PROFILES = "other-profiles";

    static final long MINUTE_MILLIS = 60_000;
    private static final int MAXIMUM_PROFILES = 64;

    private final Map<String, MinuteRing> mRings = new TreeMap<>();

    /**
     * Circular buffer with the minutes of one profile. A slot belongs to the minute that was last
     * written to it.
     */
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

    /** Adds one to a counter of the minute that contains {@code nowMillis}. */
    public synchronized void add(String profile, BurnCount count, long nowMillis) {
        ring(profile).slot(nowMillis / MINUTE_MILLIS)[count.position()]++;
    }

    /**
     * Adds earlier counts, such as those saved before a restart.
     *
     * @param minute minutes since the epoch
     */
    public synchronized void add(String profile, long minute, BurnCounts counts) {
        int[] slot = ring(profile).slot(minute);
        for (int index = 0; index < slot.length; index++) {
            slot[index] += (int) Math.min(counts.values().get(index), Integer.MAX_VALUE / 2);
        }
    }

    /**
     * Returns counts by profile and minute; profiles without counts are left out.
     *
     * @param minutes number of minutes to return, up to and including the current one
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
