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
    public static final int KEPT_MINUTES = 3 * 24 * 60;

    /** Name that further profiles are counted under. */
    public static final String OTHER = "other-profiles";

    static final long MINUTE_MILLIS = 60_000;
    private static final int MOST_PROFILES = 64;

    private final Map<String, Ring> mRings = new TreeMap<>();

    /** One profile's minutes; a slot belongs to the minute that was last written to it. */
    private static final class Ring {
        private final long[] mMinutes = new long[KEPT_MINUTES];
        private final int[][] mNumbers = new int[KEPT_MINUTES][];

        int[] slot(long minute) {
            int index = (int) (minute % KEPT_MINUTES);
            int[] numbers = mNumbers[index];
            if (numbers == null || mMinutes[index] < minute) {
                numbers = new int[BurnCount.values().length];
                mNumbers[index] = numbers;
                mMinutes[index] = minute;
            }
            return numbers;
        }

        SortedMap<Long, int[]> since(long firstMinute, long lastMinute) {
            SortedMap<Long, int[]> found = new TreeMap<>();
            for (int index = 0; index < KEPT_MINUTES; index++) {
                boolean wanted = mMinutes[index] >= firstMinute && mMinutes[index] <= lastMinute;
                int[] numbers = mNumbers[index];
                if (wanted && numbers != null) {
                    found.put(mMinutes[index], numbers);
                }
            }
            return found;
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
        long first = last - Math.min(minutes, KEPT_MINUTES) + 1;
        SortedMap<String, SortedMap<Long, BurnCounts>> found = new TreeMap<>();
        mRings.forEach(
                (profile, ring) -> {
                    SortedMap<Long, BurnCounts> counts = new TreeMap<>();
                    ring.since(first, last)
                            .forEach(
                                    (minute, numbers) ->
                                            counts.put(
                                                    minute,
                                                    BurnCounts.of(
                                                            Arrays.copyOf(
                                                                    numbers, numbers.length))));
                    if (!counts.isEmpty()) {
                        found.put(profile, counts);
                    }
                });
        return found;
    }

    private Ring ring(String profile) {
        String name =
                mRings.containsKey(profile) || mRings.size() < MOST_PROFILES ? profile : OTHER;
        return mRings.computeIfAbsent(name, unused -> new Ring());
    }
}
