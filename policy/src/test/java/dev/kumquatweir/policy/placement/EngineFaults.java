package dev.kumquatweir.policy.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * The faults of simulated engines, and how often the parts of prompts met them. Not thread-safe.
 */
final class EngineFaults {
    /** Time from the first event of an answer to the crash that a part causes. */
    static final long CRASH_AFTER_FIRST_EVENT_MILLIS = 45;

    static final long RESTART_MILLIS = 3_000;
    private static final int MAXIMUM_LOSS_MILLIS = 1_500;

    private final Set<String> mCrashingParts = new HashSet<>();
    private final Map<String, List<Double>> mSends = new HashMap<>();
    private final Map<String, List<Double>> mCrashes = new HashMap<>();
    private final Random mRandom = new Random(1);
    private double mLostShare;

    /** Lets each engine crash that begins to write an answer on a prompt with this part. */
    void addCrashingPart(String part) {
        mCrashingParts.add(part);
    }

    /** Lets engines lose a share of their answers without crashing. */
    void setLostShare(double share) {
        mLostShare = share;
    }

    boolean crashes(PlacementRequest request) {
        return request.sharedParts().stream().anyMatch(mCrashingParts::contains);
    }

    /** Returns the time from the first event to the loss of an answer, -1 if it isn't lost. */
    long lostAfterMillis() {
        return mRandom.nextDouble() < mLostShare ? mRandom.nextInt(MAXIMUM_LOSS_MILLIS) : -1;
    }

    void recordSend(PlacementRequest request, double atMillis) {
        record(mSends, request, atMillis);
    }

    void recordCrash(PlacementRequest request, double atMillis) {
        record(mCrashes, request, atMillis);
    }

    private static void record(
            Map<String, List<Double>> records, PlacementRequest request, double atMillis) {
        request.sharedParts()
                .forEach(
                        part ->
                                records.computeIfAbsent(part, key -> new ArrayList<>())
                                        .add(atMillis));
    }

    /** Returns the times at which a part crashed an engine. */
    List<Double> crashes(String part) {
        return mCrashes.getOrDefault(part, List.of());
    }

    /** Returns how many requests with a part were sent to engines after a time. */
    long sendsAfter(String part, double millis) {
        return mSends.getOrDefault(part, List.of()).stream().filter(at -> at > millis).count();
    }

    /** Returns how many requests with a part were sent later than 3 s after its fifth crash. */
    long lateSends(String part) {
        List<Double> crashes = crashes(part);
        return crashes.size() < 5 ? 0 : sendsAfter(part, crashes.get(4) + 3_000);
    }
}
