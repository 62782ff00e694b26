package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Remembers which contents ran on upstreams that broke off, so that a request that crashes each
 * upstream it reaches is not sent to all of them. Not thread-safe.
 */
final class CrashHistory {
    /** Lost answers hit one request twice by chance now and then, three times hardly ever. */
    private static final int LIMIT = 3;

    private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int LARGEST = 10_000;

    private final Map<String, Breaks> mBreaks = new LinkedHashMap<>();

    private record Breaks(Set<UpstreamId> upstreams, long lastNanos) {}

    void broke(String contentHash, UpstreamId upstream, long nowNanos) {
        if (contentHash.isEmpty()) {
            return;
        }
        Breaks before = mBreaks.remove(contentHash);
        Set<UpstreamId> upstreams = new HashSet<>();
        if (before != null && nowNanos - before.lastNanos() < MEMORY_NANOS) {
            upstreams.addAll(before.upstreams());
        }
        upstreams.add(upstream);
        mBreaks.put(contentHash, new Breaks(upstreams, nowNanos));
        if (mBreaks.size() > LARGEST) {
            mBreaks.remove(mBreaks.keySet().iterator().next());
        }
    }

    void answered(String contentHash) {
        mBreaks.remove(contentHash);
    }

    boolean quarantined(String contentHash, long nowNanos) {
        Breaks breaks = mBreaks.get(contentHash);
        return breaks != null
                && breaks.upstreams().size() >= LIMIT
                && nowNanos - breaks.lastNanos() < MEMORY_NANOS;
    }
}
