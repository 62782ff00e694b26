package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Records which request contents were running when an upstream failed, so that a request that
 * crashes every upstream it reaches is not retried on all of them. Owned by {@link
 * PlacementScheduler}; not thread-safe.
 */
public final class CrashHistory {
    /**
     * Number of different upstreams that must fail. Unrelated failures occasionally hit one request
     * twice, but hardly ever three times.
     */
    private static final int QUARANTINE_UPSTREAMS = 3;

    static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int MAXIMUM_ENTRIES = 10_000;

    /** Most failures hit a request once; only later ones are worth a message. */
    private static final int REPEATED_UPSTREAMS = 2;

    private static final int MAXIMUM_REPEATED = 256;

    private final Map<String, Crashes> mCrashes = new LinkedHashMap<>();

    CrashHistory() {}

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

    /** Adds crashes that another scheduler has recorded. */
    public void add(List<RecordedCrash> crashes, long nowNanos) {
        crashes.forEach(crash -> add(crash, nowNanos));
    }

    /** Removes the crashes of contents that were answered where another scheduler decided. */
    public void remove(List<String> contentHashes) {
        contentHashes.forEach(mCrashes::remove);
    }

    private void add(RecordedCrash crash, long nowNanos) {
        long crashNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(crash.ageMillis());
        Crashes known = mCrashes.get(crash.contentHash());
        recordCrash(
                crash.contentHash(),
                crash.upstream(),
                known != null && crashNanos - known.lastNanos() < 0
                        ? known.lastNanos()
                        : crashNanos);
    }

    /** Returns the crashes of the contents that failed on several upstreams, the latest ones. */
    public List<RecordedCrash> repeated(long nowNanos) {
        return mCrashes.entrySet().stream()
                .filter(entry -> entry.getValue().upstreams().size() >= REPEATED_UPSTREAMS)
                .filter(entry -> nowNanos - entry.getValue().lastNanos() < RETENTION_NANOS)
                .sorted(Comparator.comparingLong(entry -> nowNanos - entry.getValue().lastNanos()))
                .limit(MAXIMUM_REPEATED)
                .flatMap(entry -> crashes(entry.getKey(), entry.getValue(), nowNanos))
                .toList();
    }

    private static Stream<RecordedCrash> crashes(
            String contentHash, Crashes crashes, long nowNanos) {
        long ageMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - crashes.lastNanos()));
        return crashes.upstreams().stream()
                .sorted(Comparator.comparing(UpstreamId::value))
                .limit(QUARANTINE_UPSTREAMS)
                .map(upstream -> new RecordedCrash(contentHash, upstream, ageMillis));
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
