package dev.kumquatweir.policy.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Counts for each part of prompts on how many upstreams it was when they crashed. Parts in use are
 * cleared by the next complete answer, so that only parts on which upstreams crash gather strikes.
 * Not thread-safe.
 */
final class CrashSuspects {
    /**
     * An answer that has been written for longer has outlived its beginning, which is when a part
     * crashes an upstream.
     */
    private static final long BEGINNING_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A request that breaks off sooner met an upstream that had crashed before. */
    private static final long MINIMUM_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Events that were on their way when an upstream crashed arrive within this time. */
    private static final long IN_FLIGHT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Until then an upstream that crashed has not restarted. */
    private static final long RESTART_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);
    private static final int MAXIMUM_PARTS = 2_000;
    private static final int MAXIMUM_UPSTREAMS = 1_000;
    private static final int MAXIMUM_ANSWERED = 10_000;

    /** In the order of the last strike. */
    private final Map<String, SuspectPart> mParts = new LinkedHashMap<>();

    /** The latest strikes by upstream, which progress of the upstream takes back. */
    private final Map<String, RecentCrash> mRecentCrashes = new LinkedHashMap<>();

    /** Time of the last complete answer by part, the most recent last. */
    private final Map<String, Long> mAnswered = new LinkedHashMap<>();

    private record RecentCrash(UpstreamLife life, Set<String> parts, long lastNanos) {}

    /**
     * Records that an upstream broke off a request.
     *
     * @return the parts that are suspect, with the number of their strikes
     */
    Map<String, Integer> brokenOff(PlacementUpstream upstream, PlacedPart placed, long nowNanos) {
        List<String> parts = placed.request().sharedParts();
        if (parts.isEmpty() || !atBeginning(placed, nowNanos)) {
            return Map.of();
        }
        UpstreamLife life = UpstreamLife.of(upstream);
        Map<String, Integer> strikes = new HashMap<>();
        for (String part : parts) {
            SuspectPart suspect = suspect(part);
            suspect.strike(life, placed.grantedNanos(), nowNanos);
            strikes.put(part, suspect.strikes());
        }
        RecentCrash previous = mRecentCrashes.remove(life.upstream());
        Set<String> struck = new HashSet<>(parts);
        if (previous != null && previous.life().equals(life)) {
            struck.addAll(previous.parts());
        }
        mRecentCrashes.put(life.upstream(), new RecentCrash(life, struck, nowNanos));
        removeOldest(mRecentCrashes, MAXIMUM_UPSTREAMS);
        removeExpired(nowNanos);
        return strikes;
    }

    private static boolean atBeginning(PlacedPart placed, long nowNanos) {
        return placed.primary()
                && (placed.started()
                        ? nowNanos - placed.startedNanos() < BEGINNING_NANOS
                        : nowNanos - placed.grantedNanos() >= MINIMUM_RUN_NANOS);
    }

    private SuspectPart suspect(String part) {
        SuspectPart known = mParts.remove(part);
        SuspectPart suspect = known == null ? new SuspectPart(part) : known;
        mParts.put(part, suspect);
        return suspect;
    }

    private void removeExpired(long nowNanos) {
        mParts.values().removeIf(suspect -> nowNanos - suspect.lastNanos() > RETENTION_NANOS);
        removeOldest(mParts, MAXIMUM_PARTS);
    }

    private static void removeOldest(Map<String, ?> entries, int maximum) {
        while (entries.size() > maximum) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    /**
     * Records a first event or an answer of an upstream. If it broke off a request shortly before,
     * it did not crash: a connection was reset or an answer was lost.
     *
     * @return the parts whose strikes are taken back
     */
    List<String> progressed(PlacementUpstream upstream, long nowNanos) {
        String id = upstream.notice().id().value();
        RecentCrash crash = mRecentCrashes.get(id);
        if (crash == null) {
            return List.of();
        }
        UpstreamLife life = UpstreamLife.of(upstream);
        List<String> takenBack = new ArrayList<>();
        for (String part : crash.parts()) {
            SuspectPart suspect = mParts.get(part);
            if (suspect != null
                    && suspect.takeBack(life, IN_FLIGHT_NANOS, RESTART_NANOS, nowNanos)) {
                takenBack.add(part);
                if (suspect.isEmpty()) {
                    mParts.remove(part);
                }
            }
        }
        if (nowNanos - crash.lastNanos() >= IN_FLIGHT_NANOS || !crash.life().equals(life)) {
            mRecentCrashes.remove(id);
        }
        return takenBack;
    }

    /**
     * Records a complete answer, which shows that the parts of its prompt are sound.
     *
     * @return whether one of them was suspect
     */
    boolean answered(PlacementRequest request, long nowNanos) {
        boolean suspected = false;
        for (String part : request.sharedParts()) {
            suspected |= mParts.remove(part) != null;
            mAnswered.remove(part);
            mAnswered.put(part, nowNanos);
        }
        removeOldest(mAnswered, MAXIMUM_ANSWERED);
        return suspected;
    }
}
