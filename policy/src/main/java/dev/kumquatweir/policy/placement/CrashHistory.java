package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Records which request contents were running when an upstream failed, so that a request that
 * crashes every upstream it reaches is not retried on all of them. Owned by {@link
 * PlacementScheduler}; not thread-safe.
 */
final class CrashHistory {
    /**
     * Number of different upstreams that must fail. Unrelated failures occasionally hit one request
     * twice, but hardly ever three times.
     */
    private static final int QUARANTINE_UPSTREAMS = 3;

    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int MAXIMUM_ENTRIES = 10_000;

    private final Map<String, Crashes> mCrashes = new LinkedHashMap<>();

    private record Crashes(Set<UpstreamId> upstreams, long lastNanos) {}

    void recordCrash(String contentHash, UpstreamId upstream, long nowNanos) {
        if (contentHash.isEmpty()) {
            return;
        }
        Crashes previous = mCrashes.remove(contentHash);
        Set<UpstreamId> upstreams = new HashSet<>();
        if (previous != null && nowNanos - previous.lastNanos() < RETENTION_NANOS) {
            upstreams.addAll(previous.upstreams());
        }
        upstreams.add(upstream);
        mCrashes.put(contentHash, new Crashes(upstreams, nowNanos));
        if (mCrashes.size() > MAXIMUM_ENTRIES) {
            mCrashes.remove(mCrashes.keySet().iterator().next());
        }
    }

    void answered(String contentHash) {
        mCrashes.remove(contentHash);
    }

    boolean quarantined(String contentHash, long nowNanos) {
        Crashes crashes = mCrashes.get(contentHash);
        return crashes != null
                && crashes.upstreams().size() >= QUARANTINE_UPSTREAMS
                && nowNanos - crashes.lastNanos() < RETENTION_NANOS;
    }
}
