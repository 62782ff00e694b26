package dev.kumquatweir.policy.quarantine;

import dev.kumquatweir.core.identity.FailureDomain;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects the loss of a whole failure domain from the recent terminations of its upstreams. Not
 * thread-safe: part of {@link Quarantine}.
 */
final class DomainLossDetector {
    private final int mUpstreams;
    private final long mWindowNanos;
    private final Map<FailureDomain, Map<UpstreamIncarnation, Long>> mRecentLosses =
            new HashMap<>();

    DomainLossDetector(int upstreams, long windowNanos) {
        mUpstreams = upstreams;
        mWindowNanos = windowNanos;
    }

    /**
     * Records a termination, or a lost connection that may turn out to be one. The time of the
     * first record counts, since a termination is often confirmed only seconds later.
     *
     * @return the terminations in the domain within the time window of this one if they reach the
     *     threshold of a domain loss, else none
     */
    List<UpstreamIncarnation> add(
            FailureDomain domain, UpstreamIncarnation incarnation, long nowNanos) {
        Map<UpstreamIncarnation, Long> recent =
                mRecentLosses.computeIfAbsent(domain, key -> new LinkedHashMap<>());
        recent.putIfAbsent(incarnation, nowNanos);
        long when = recent.getOrDefault(incarnation, nowNanos);
        List<UpstreamIncarnation> close =
                recent.entrySet().stream()
                        .filter(entry -> Math.abs(entry.getValue() - when) <= mWindowNanos)
                        .map(Map.Entry::getKey)
                        .toList();
        long upstreams = close.stream().map(UpstreamIncarnation::upstream).distinct().count();
        return upstreams >= mUpstreams ? close : List.of();
    }

    /** Removes a lost connection whose upstream did not terminate. */
    void remove(UpstreamIncarnation incarnation) {
        mRecentLosses.values().forEach(recent -> recent.remove(incarnation));
    }

    /** Removes terminations recorded before a time. */
    void expire(long beforeNanos) {
        mRecentLosses
                .values()
                .forEach(recent -> recent.values().removeIf(at -> at - beforeNanos < 0));
        mRecentLosses.values().removeIf(Map::isEmpty);
    }
}
