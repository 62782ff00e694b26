package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The newest word of each upstream. Late and repeated notices change nothing, and an upstream at an
 * address ends what was known of an earlier one there. Not thread-safe.
 */
final class UpstreamDirectory {
    private static final long EXPIRY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Map<UpstreamId, Entry> mEntries = new LinkedHashMap<>();
    private long mRevision;

    private record Entry(UpstreamStatus status, long lastSeenNanos, long revision) {}

    /** What a notice changed. */
    enum Change {
        /** Nothing: it is late or repeated. */
        NONE,
        /** Only that the upstream was heard again. */
        REFRESHED,
        /** Where the upstream is, or whether it takes work. */
        STATE
    }

    /** Takes a notice. */
    Change update(UpstreamStatus status, long lastSeenNanos) {
        Entry known = mEntries.get(status.id());
        if (known != null && !status.isNewerThan(known.status())) {
            return Change.NONE;
        }
        boolean alreadyGone =
                known != null
                        && known.status().startedAtMillis() == status.startedAtMillis()
                        && known.status().phase() == UpstreamPhase.GONE;
        if (alreadyGone || isOlderThanAnotherAtSameAddress(status)) {
            return Change.NONE;
        }
        boolean changed = known == null || differs(known.status(), status);
        put(status, lastSeenNanos);
        if (changed) {
            markOthersAtAddressGone(status, lastSeenNanos);
        }
        return changed ? Change.STATE : Change.REFRESHED;
    }

    /**
     * Takes an upstream's word that it leaves.
     *
     * @param startedAtMillis which start of it, 0 if it did not say
     * @return the notice that says so, empty if the upstream or the start is not known
     */
    Optional<UpstreamStatus> markLeft(UpstreamId id, long startedAtMillis, long nowNanos) {
        Entry known = mEntries.get(id);
        if (known == null || known.status().phase() == UpstreamPhase.GONE) {
            return Optional.empty();
        }
        if (startedAtMillis != 0 && startedAtMillis != known.status().startedAtMillis()) {
            return Optional.empty();
        }
        UpstreamStatus goneStatus = withGonePhase(known.status());
        put(goneStatus, nowNanos);
        return Optional.of(goneStatus);
    }

    /** Returns what is known of an upstream. */
    Optional<UpstreamStatus> find(UpstreamId id) {
        return Optional.ofNullable(mEntries.get(id)).map(Entry::status);
    }

    /** Returns the revision, which grows with each notice taken. */
    long revision() {
        return mRevision;
    }

    /** Returns the notices taken after a revision. */
    List<AgedUpstreamStatus> changedSince(long revision, long nowNanos) {
        return mEntries.values().stream()
                .filter(entry -> entry.revision() > revision)
                .map(
                        entry ->
                                new AgedUpstreamStatus(
                                        entry.status(),
                                        TimeUnit.NANOSECONDS.toMillis(
                                                nowNanos - entry.lastSeenNanos())))
                .toList();
    }

    /** Forgets upstreams that were not heard for a long time. */
    void expire(long nowNanos) {
        mEntries.values()
                .removeIf(entry -> nowNanos - entry.lastSeenNanos() > EXPIRY_TIMEOUT_NANOS);
    }

    /** Returns how many upstreams are known. */
    int size() {
        return mEntries.size();
    }

    private void put(UpstreamStatus status, long lastSeenNanos) {
        mRevision++;
        mEntries.put(status.id(), new Entry(status, lastSeenNanos, mRevision));
    }

    private boolean isOlderThanAnotherAtSameAddress(UpstreamStatus status) {
        return mEntries.values().stream()
                .map(Entry::status)
                .filter(other -> !other.id().equals(status.id()))
                .filter(other -> other.address().equals(status.address()))
                .anyMatch(other -> other.startedAtMillis() > status.startedAtMillis());
    }

    private void markOthersAtAddressGone(UpstreamStatus status, long nowNanos) {
        List<UpstreamStatus> replaced =
                mEntries.values().stream()
                        .map(Entry::status)
                        .filter(other -> !other.id().equals(status.id()))
                        .filter(other -> other.address().equals(status.address()))
                        .filter(other -> other.phase() != UpstreamPhase.GONE)
                        .toList();
        replaced.forEach(other -> put(withGonePhase(other), nowNanos));
    }

    /** Newer than the last heartbeat, so that it prevails wherever that one is known. */
    private static UpstreamStatus withGonePhase(UpstreamStatus last) {
        return new UpstreamStatus(
                last.id(),
                last.startedAtMillis(),
                last.service(),
                last.address(),
                last.domain(),
                last.slots(),
                UpstreamPhase.GONE,
                0,
                last.sequence() + 1);
    }

    private static boolean differs(UpstreamStatus known, UpstreamStatus status) {
        return known.startedAtMillis() != status.startedAtMillis()
                || known.phase() != status.phase()
                || !known.address().equals(status.address())
                || !known.service().equals(status.service())
                || known.slots() != status.slots()
                || status.coldRemainingMillis() > known.coldRemainingMillis();
    }
}
