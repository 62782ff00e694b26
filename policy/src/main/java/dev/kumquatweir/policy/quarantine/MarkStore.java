package dev.kumquatweir.policy.quarantine;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Bounded store of quarantine marks with local expiry times. Not thread-safe: part of {@link
 * Quarantine}.
 */
final class MarkStore {
    private final int mMaximumMarks;
    private final long mLifetimeNanos;
    private final long mProvisionalNanos;
    private final long mMinimumShareableNanos;
    private final Map<String, Map<UpstreamIncarnation, Entry>> mMarks = new HashMap<>();

    MarkStore(int maximumMarks, long lifetimeNanos, long provisionalNanos, long spreadFloorNanos) {
        mMaximumMarks = maximumMarks;
        mLifetimeNanos = lifetimeNanos;
        mProvisionalNanos = provisionalNanos;
        mMinimumShareableNanos = spreadFloorNanos;
    }

    void blame(String hash, UpstreamIncarnation incarnation, SuspicionState state, long nowNanos) {
        long lifetime = state == SuspicionState.PROVISIONAL ? mProvisionalNanos : mLifetimeNanos;
        put(hash, incarnation, new Entry(state, nowNanos + lifetime), nowNanos);
    }

    /**
     * Excuses a termination for all requests. Provisional entries are removed, since the upstream
     * may still crash later.
     */
    void excuse(UpstreamIncarnation incarnation) {
        mMarks.values()
                .forEach(
                        deaths ->
                                deaths.computeIfPresent(
                                        incarnation, (key, entry) -> entry.excused()));
        mMarks.values().removeIf(Map::isEmpty);
    }

    void excuse(String hash) {
        Map<UpstreamIncarnation, Entry> deaths = mMarks.get(hash);
        if (deaths != null) {
            deaths.replaceAll(
                    (incarnation, entry) -> new Entry(SuspicionState.EXCUSED, entry.mExpiryNanos));
        }
    }

    int count(String hash, SuspicionState state, long nowNanos) {
        int count = 0;
        for (Entry entry : mMarks.getOrDefault(hash, Map.of()).values()) {
            count += entry.mState == state && entry.live(nowNanos) ? 1 : 0;
        }
        return count;
    }

    /** Returns the incarnations that count against a content. */
    Set<UpstreamIncarnation> strikes(String hash, long nowNanos) {
        return mMarks.getOrDefault(hash, Map.of()).entrySet().stream()
                .filter(entry -> entry.getValue().live(nowNanos))
                .filter(entry -> entry.getValue().mState != SuspicionState.EXCUSED)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns whether a suspicion against a content was excused. */
    boolean excused(String hash, long nowNanos) {
        return count(hash, SuspicionState.EXCUSED, nowNanos) > 0;
    }

    /** Returns the contents that have marks. The view changes with the store. */
    Set<String> hashes() {
        return mMarks.keySet();
    }

    Set<UpstreamId> suspectedUpstreams(String hash, long nowNanos) {
        Set<UpstreamId> upstreams = new TreeSet<>();
        mMarks.getOrDefault(hash, Map.of())
                .forEach(
                        (incarnation, entry) -> {
                            if (entry.live(nowNanos) && entry.mState != SuspicionState.EXCUSED) {
                                upstreams.add(incarnation.upstream());
                            }
                        });
        return upstreams;
    }

    /**
     * Returns the marks to send to other instances. Marks close to expiry are left out, so that
     * delayed messages can't revive them.
     */
    List<QuarantineMark> spread(long nowNanos) {
        List<QuarantineMark> marks = new ArrayList<>();
        mMarks.forEach(
                (hash, deaths) -> {
                    Map<UpstreamIncarnation, QuarantineMark.Suspicion> blames = new HashMap<>();
                    deaths.forEach(
                            (incarnation, entry) -> {
                                long remaining = entry.mExpiryNanos - nowNanos;
                                if (remaining > mMinimumShareableNanos) {
                                    blames.put(
                                            incarnation,
                                            new QuarantineMark.Suspicion(entry.mState, remaining));
                                }
                            });
                    if (!blames.isEmpty()) {
                        marks.add(new QuarantineMark(hash, blames));
                    }
                });
        return marks;
    }

    void absorb(QuarantineMark mark, long nowNanos) {
        mark.suspicions()
                .forEach(
                        (incarnation, blame) -> {
                            long remaining = Math.min(blame.remainingNanos(), mLifetimeNanos);
                            if (remaining > mMinimumShareableNanos) {
                                Entry entry = new Entry(blame.state(), nowNanos + remaining);
                                put(mark.contentHash(), incarnation, entry, nowNanos);
                            }
                        });
    }

    void expire(long nowNanos) {
        mMarks.values().forEach(deaths -> deaths.values().removeIf(entry -> !entry.live(nowNanos)));
        mMarks.values().removeIf(Map::isEmpty);
    }

    int size() {
        return mMarks.size();
    }

    private void put(String hash, UpstreamIncarnation incarnation, Entry entry, long nowNanos) {
        if (!mMarks.containsKey(hash) && mMarks.size() >= mMaximumMarks) {
            evict(nowNanos);
        }
        mMarks.computeIfAbsent(hash, key -> new HashMap<>())
                .merge(incarnation, entry, Entry::merge);
    }

    /**
     * Evicts the least important mark: the one with the fewest suspected upstreams, then the
     * earliest expiry.
     */
    private void evict(long nowNanos) {
        expire(nowNanos);
        if (mMarks.size() < mMaximumMarks) {
            return;
        }
        Comparator<String> weakest =
                Comparator.<String>comparingInt(hash -> suspectedUpstreams(hash, nowNanos).size())
                        .thenComparingLong(hash -> lastExpiry(hash) - nowNanos);
        mMarks.keySet().stream().min(weakest).ifPresent(mMarks::remove);
    }

    private long lastExpiry(String hash) {
        return mMarks.getOrDefault(hash, Map.of()).values().stream()
                .mapToLong(entry -> entry.mExpiryNanos)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    private static final class Entry {
        private final SuspicionState mState;
        private final long mExpiryNanos;

        Entry(SuspicionState state, long expiryNanos) {
            mState = state;
            mExpiryNanos = expiryNanos;
        }

        boolean live(long nowNanos) {
            return mExpiryNanos - nowNanos > 0;
        }

        @Nullable Entry excused() {
            return mState == SuspicionState.PROVISIONAL
                    ? null
                    : new Entry(SuspicionState.EXCUSED, mExpiryNanos);
        }

        /** Applies the same rule as {@link QuarantineMark.Suspicion#merge}. */
        Entry merge(Entry other) {
            int order = mState.compareTo(other.mState);
            boolean first = order == 0 ? mExpiryNanos - other.mExpiryNanos <= 0 : order > 0;
            return first ? this : other;
        }
    }
}
