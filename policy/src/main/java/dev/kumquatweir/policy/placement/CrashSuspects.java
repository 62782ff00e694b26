package dev.kumquatweir.policy.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Counts for each part of prompts on how many upstreams it was when they crashed. Parts in use are
 * cleared by the next complete answer, so that only parts on which upstreams crash gather strikes.
 * Not thread-safe.
 */
final class CrashSuspects {
    /**
     * An upstream crashes on a part when it begins to write an answer. Answers that have been
     * written for longer are not to blame.
     */
    private static final long BEGINNING_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** An answer that has been written for so long shows that its parts are sound. */
    private static final long OUTLIVED_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A request that breaks off sooner met an upstream that had crashed before. */
    private static final long MINIMUM_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** First events come at this share of their estimated time at the earliest. */
    private static final double MINIMUM_SHARE_OF_ESTIMATE = 0.5;

    /** Events that were on their way when an upstream crashed arrive within this time. */
    private static final long IN_FLIGHT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Until then an upstream that crashed has not restarted. */
    private static final long RESTART_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);
    private static final int MAXIMUM_PARTS = 2_000;
    private static final int MAXIMUM_UPSTREAMS = 1_000;
    private static final int MAXIMUM_ANSWERED = 10_000;
    private static final int MAXIMUM_BEGUN = 10_000;

    /** In the order of the last strike. */
    private final Map<String, SuspectPart> mParts = new LinkedHashMap<>();

    /** The latest strikes by upstream, which progress of the upstream takes back. */
    private final Map<String, RecentCrash> mRecentCrashes = new LinkedHashMap<>();

    /** Time of the last complete answer by part, the most recent last. */
    private final Map<String, Long> mAnswered = new LinkedHashMap<>();

    /** The running answers that are at their beginning, in the order of their first events. */
    private final Map<PlacementKey, BegunAnswer> mBegun = new LinkedHashMap<>();

    private record RecentCrash(UpstreamLife life, Set<String> parts, long lastNanos) {}

    private record BegunAnswer(
            PlacementRequest request,
            PlacementUpstream upstream,
            UpstreamLife life,
            long begunNanos) {}

    /** Records the first event of an answer. */
    void begun(PlacementUpstream upstream, PlacementRequest request, long nowNanos) {
        if (!request.sharedParts().isEmpty()) {
            mBegun.putIfAbsent(
                    request.key(),
                    new BegunAnswer(request, upstream, UpstreamLife.of(upstream), nowNanos));
            removeOldest(mBegun, MAXIMUM_BEGUN);
        }
    }

    /** Records the end of a placement. */
    void ended(PlacementKey key) {
        mBegun.remove(key);
    }

    /**
     * Clears the parts of running answers that have outlived their beginning.
     *
     * @return whether one of them was suspect
     */
    boolean clearOutlived(long nowNanos) {
        boolean suspected = false;
        Iterator<BegunAnswer> answers = mBegun.values().iterator();
        while (answers.hasNext()) {
            BegunAnswer answer = answers.next();
            if (nowNanos - answer.begunNanos() < OUTLIVED_NANOS) {
                break;
            }
            answers.remove();
            // Without progress it may have crashed where a lost connection conceals it.
            long progressNanos = answer.begunNanos() + OUTLIVED_NANOS / 2;
            if (answer.life().equals(UpstreamLife.of(answer.upstream()))
                    && answer.upstream().health().hasProgressSince(progressNanos)) {
                for (String part : answer.request().sharedParts()) {
                    suspected |= mParts.remove(part) != null;
                }
            }
        }
        return suspected;
    }

    /**
     * Records that an upstream broke off a request. Its parts are suspect if the answer was at its
     * beginning.
     *
     * @return the parts that are suspect, with the number of their strikes
     */
    Map<String, Integer> brokenOff(PlacementUpstream upstream, PlacedPart placed, long nowNanos) {
        List<String> parts = placed.request().sharedParts();
        if (parts.isEmpty() || !placed.primary()) {
            return Map.of();
        }
        UpstreamLife life = UpstreamLife.of(upstream);
        RecentCrash known = mRecentCrashes.remove(life.upstream());
        RecentCrash previous = known != null && known.life().equals(life) ? known : null;
        Set<String> struck = new HashSet<>(previous == null ? Set.of() : previous.parts());
        Map<String, Integer> strikes = new HashMap<>();
        if (atBeginning(placed, nowNanos) || mayHaveBegun(placed, nowNanos)) {
            for (String part : parts) {
                SuspectPart suspect = suspect(part, nowNanos);
                suspect.strike(life, placed.grantedNanos(), nowNanos);
                strikes.put(part, suspect.strikes());
            }
            struck.addAll(parts);
        }
        mRecentCrashes.put(life.upstream(), new RecentCrash(life, struck, nowNanos));
        removeOldest(mRecentCrashes, MAXIMUM_UPSTREAMS);
        removeExpired(nowNanos);
        return strikes;
    }

    private static boolean atBeginning(PlacedPart placed, long nowNanos) {
        return placed.primary()
                && placed.started()
                && nowNanos - placed.startedNanos() < BEGINNING_NANOS;
    }

    /** Returns whether its first event may have been lost in the crash. */
    private static boolean mayHaveBegun(PlacedPart placed, long nowNanos) {
        long ranNanos = nowNanos - placed.grantedNanos();
        long expectedNanos = placed.firstEventNanos() - placed.grantedNanos();
        return !placed.started()
                && ranNanos >= MINIMUM_RUN_NANOS
                && ranNanos >= MINIMUM_SHARE_OF_ESTIMATE * expectedNanos;
    }

    private SuspectPart suspect(String part, long nowNanos) {
        SuspectPart known = mParts.remove(part);
        SuspectPart suspect =
                known == null || expired(known, nowNanos) ? new SuspectPart(part) : known;
        mParts.put(part, suspect);
        return suspect;
    }

    private static boolean expired(SuspectPart suspect, long nowNanos) {
        return !suspect.convicted() && nowNanos - suspect.lastNanos() > RETENTION_NANOS;
    }

    private void removeExpired(long nowNanos) {
        Iterator<SuspectPart> oldestFirst = mParts.values().iterator();
        while (oldestFirst.hasNext()) {
            SuspectPart suspect = oldestFirst.next();
            if (expired(suspect, nowNanos)) {
                oldestFirst.remove();
            } else if (!suspect.convicted()) {
                break;
            }
        }
        if (mParts.size() > MAXIMUM_PARTS) {
            mParts.values().stream()
                    .filter(suspect -> !suspect.convicted())
                    .limit(mParts.size() - MAXIMUM_PARTS)
                    .map(SuspectPart::part)
                    .toList()
                    .forEach(mParts::remove);
            removeOldest(mParts, MAXIMUM_PARTS);
        }
    }

    private static void removeOldest(Map<?, ?> entries, int maximum) {
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

    /** Returns whether a complete answer of a part is known. */
    boolean knownSound(String part, long nowNanos) {
        Long answeredNanos = mAnswered.get(part);
        return answeredNanos != null && nowNanos - answeredNanos < RETENTION_NANOS;
    }

    /** Returns whether a part was in a complete answer after the given time. */
    boolean answeredAfter(String part, long nanos) {
        Long answeredNanos = mAnswered.get(part);
        return answeredNanos != null && answeredNanos - nanos > 0;
    }

    Optional<SuspectPart> find(String part) {
        return Optional.ofNullable(mParts.get(part));
    }

    /** Returns the suspect parts. */
    Collection<SuspectPart> parts() {
        return mParts.values();
    }

    /** Forgets the strikes of parts. */
    void forget(List<String> parts) {
        parts.forEach(mParts::remove);
    }

    /** Adds the strikes that another scheduler has counted against parts. */
    void addStrikes(List<String> parts, int count, long crashedNanos, long nowNanos) {
        String name = String.join("+", parts);
        parts.forEach(part -> suspect(part, nowNanos).addStrikes(name, count, crashedNanos));
        removeExpired(nowNanos);
    }
}
