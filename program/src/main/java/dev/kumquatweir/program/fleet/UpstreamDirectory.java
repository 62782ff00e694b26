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
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Map<UpstreamId, Entry> mEntries = new LinkedHashMap<>();
    private long mRevision;

    private record Entry(UpstreamStatus notice, long heardNanos, long revision) {}

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
    Change hear(UpstreamStatus notice, long heardNanos) {
        Entry known = mEntries.get(notice.id());
        if (known != null && !notice.isNewerThan(known.notice())) {
            return Change.NONE;
        }
        boolean gone =
                known != null
                        && known.notice().startedAtMillis() == notice.startedAtMillis()
                        && known.notice().phase() == UpstreamPhase.GONE;
        if (gone || isOlderAtSameAddress(notice)) {
            return Change.NONE;
        }
        boolean changed = known == null || differs(known.notice(), notice);
        put(notice, heardNanos);
        if (changed) {
            endOthersAt(notice, heardNanos);
        }
        return changed ? Change.STATE : Change.REFRESHED;
    }

    /**
     * Takes an upstream's word that it leaves.
     *
     * @param bornMillis which start of it, 0 if it did not say
     * @return the notice that says so, empty if the upstream or the start is not known
     */
    Optional<UpstreamStatus> leave(UpstreamId id, long bornMillis, long nowNanos) {
        Entry known = mEntries.get(id);
        if (known == null || known.notice().phase() == UpstreamPhase.GONE) {
            return Optional.empty();
        }
        if (bornMillis != 0 && bornMillis != known.notice().startedAtMillis()) {
            return Optional.empty();
        }
        UpstreamStatus left = gone(known.notice());
        put(left, nowNanos);
        return Optional.of(left);
    }

    /** Returns what is known of an upstream. */
    Optional<UpstreamStatus> find(UpstreamId id) {
        return Optional.ofNullable(mEntries.get(id)).map(Entry::notice);
    }

    /** Returns the revision, which grows with each notice taken. */
    long revision() {
        return mRevision;
    }

    /** Returns the notices taken after a revision. */
    List<HeardNotice> since(long revision, long nowNanos) {
        return mEntries.values().stream()
                .filter(entry -> entry.revision() > revision)
                .map(
                        entry ->
                                new HeardNotice(
                                        entry.notice(),
                                        TimeUnit.NANOSECONDS.toMillis(
                                                nowNanos - entry.heardNanos())))
                .toList();
    }

    /** Forgets upstreams that were not heard for a long time. */
    void expire(long nowNanos) {
        mEntries.values().removeIf(entry -> nowNanos - entry.heardNanos() > FORGET_NANOS);
    }

    /** Returns how many upstreams are known. */
    int size() {
        return mEntries.size();
    }

    private void put(UpstreamStatus notice, long heardNanos) {
        mRevision++;
        mEntries.put(notice.id(), new Entry(notice, heardNanos, mRevision));
    }

    private boolean isOlderAtSameAddress(UpstreamStatus notice) {
        return mEntries.values().stream()
                .map(Entry::notice)
                .filter(other -> !other.id().equals(notice.id()))
                .filter(other -> other.address().equals(notice.address()))
                .anyMatch(other -> other.startedAtMillis() > notice.startedAtMillis());
    }

    private void endOthersAt(UpstreamStatus notice, long nowNanos) {
        List<UpstreamStatus> ended =
                mEntries.values().stream()
                        .map(Entry::notice)
                        .filter(other -> !other.id().equals(notice.id()))
                        .filter(other -> other.address().equals(notice.address()))
                        .filter(other -> other.phase() != UpstreamPhase.GONE)
                        .toList();
        ended.forEach(other -> put(gone(other), nowNanos));
    }

    /** Newer than the last heartbeat, so that it prevails wherever that one is known. */
    private static UpstreamStatus gone(UpstreamStatus last) {
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

    private static boolean differs(UpstreamStatus known, UpstreamStatus notice) {
        return known.startedAtMillis() != notice.startedAtMillis()
                || known.phase() != notice.phase()
                || !known.address().equals(notice.address())
                || !known.service().equals(notice.service())
                || known.slots() != notice.slots()
                || notice.coldRemainingMillis() > known.coldRemainingMillis();
    }
}
