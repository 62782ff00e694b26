package dev.kumquatweir.policy.quarantine;

import dev.kumquatweir.core.identity.FailureDomain;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Recent deaths by failure domain. Not thread-safe: part of {@link Quarantine}. */
final class DomainLosses {
    private final int mUpstreams;
    private final long mWindowNanos;
    private final Map<FailureDomain, Map<UpstreamIncarnation, Long>> mRecent = new HashMap<>();

    DomainLosses(int upstreams, long windowNanos) {
        mUpstreams = upstreams;
        mWindowNanos = windowNanos;
    }

    /**
     * Adds a death, or a lost connection that may be one. The first time counts: a death is often
     * confirmed only seconds later.
     *
     * @return the deaths of the domain close to this one if they are so many that the domain was
     *     lost, else none
     */
    List<UpstreamIncarnation> add(FailureDomain domain, UpstreamIncarnation death, long nowNanos) {
        Map<UpstreamIncarnation, Long> recent =
                mRecent.computeIfAbsent(domain, key -> new LinkedHashMap<>());
        recent.putIfAbsent(death, nowNanos);
        long when = recent.getOrDefault(death, nowNanos);
        List<UpstreamIncarnation> close =
                recent.entrySet().stream()
                        .filter(entry -> Math.abs(entry.getValue() - when) <= mWindowNanos)
                        .map(Map.Entry::getKey)
                        .toList();
        long upstreams = close.stream().map(UpstreamIncarnation::upstream).distinct().count();
        return upstreams >= mUpstreams ? close : List.of();
    }

    /** Takes back a lost connection that was no death. */
    void remove(UpstreamIncarnation death) {
        mRecent.values().forEach(recent -> recent.remove(death));
    }

    /** Forgets deaths older than a time. */
    void expire(long beforeNanos) {
        mRecent.values().forEach(recent -> recent.values().removeIf(at -> at - beforeNanos < 0));
        mRecent.values().removeIf(Map::isEmpty);
    }
}
