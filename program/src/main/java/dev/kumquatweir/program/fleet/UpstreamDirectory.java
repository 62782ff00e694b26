package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Latest status of each upstream. Ignores late and repeated statuses. A new upstream at an address
 * marks earlier upstreams at the same address as gone. Not thread-safe.
 */
final class UpstreamDirectory {
    private static final long EXPIRY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Map<UpstreamId, Entry> mEntries = new LinkedHashMap<>();
    private long mRevision;

    private record Entry(UpstreamStatus status, long lastSeenNanos, long revision) {}

    /** Effect of a status update. */
    enum Change {
        /** None: the status is outdated or repeated. */
        NONE,
        /** Only the time at which the upstream was last seen. */
        REFRESHED,
        /** The upstream's address, service, capacity or availability. */
        STATE
    }

    /** Updates the status of an upstream unless it is outdated. */
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

    /** Effect of a departure. */
    sealed interface Departure {
        /** The upstream is marked as gone, by its new status. */
        record Recorded(UpstreamStatus status) implements Departure {}

        /** The upstream is gone already, or has started again since. */
        record Repeated() implements Departure {}

        /** This start of the upstream is not known here, but may be known to other instances. */
        record Unknown() implements Departure {}
    }

    /**
     * Marks an upstream that announced its departure as gone.
     *
     * @param startedAtMillis start time of the upstream, 0 if it was not given
     */
    Departure markLeft(UpstreamId id, long startedAtMillis, long nowNanos) {
        Entry known = mEntries.get(id);
        if (known == null
                || (startedAtMillis != 0 && startedAtMillis > known.status().startedAtMillis())) {
            return new Departure.Unknown();
        }
        boolean earlierStart =
                startedAtMillis != 0 && startedAtMillis < known.status().startedAtMillis();
        if (earlierStart || known.status().phase() == UpstreamPhase.GONE) {
            return new Departure.Repeated();
        }
        UpstreamStatus goneStatus = withGonePhase(known.status());
        put(goneStatus, nowNanos);
        return new Departure.Recorded(goneStatus);
    }

    /** Returns the latest status of an upstream. */
    Optional<UpstreamStatus> find(UpstreamId id) {
        return Optional.ofNullable(mEntries.get(id)).map(Entry::status);
    }

    /** Returns the revision, which increases with each stored status. */
    long revision() {
        return mRevision;
    }

    /** Returns the statuses stored after a revision. */
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

    /** Removes upstreams that have not been seen within the expiry timeout. */
    void expire(long nowNanos) {
        mEntries.values()
                .removeIf(entry -> nowNanos - entry.lastSeenNanos() > EXPIRY_TIMEOUT_NANOS);
    }

    /** Returns the statuses of all upstreams but those marked as gone. */
    List<UpstreamStatus> present() {
        return mEntries.values().stream()
                .map(Entry::status)
                .filter(status -> status.phase() != UpstreamPhase.GONE)
                .toList();
    }

    /** Returns the ids of all upstreams, including those marked as gone. */
    Set<UpstreamId> ids() {
        return Set.copyOf(mEntries.keySet());
    }

    /** Returns the number of upstreams, including those marked as gone. */
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

    /**
     * Returns the status with phase GONE, which replaces all heartbeats of this start in all
     * directories.
     */
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
