package dev.kumquatweir.program.permit;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.LoadReport;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Latest announcement and load report of each upstream, for the permit ledger of the leader.
 * Entries are read only when an upstream is claimed, so reports of thousands of warm upstreams cost
 * the control event loop nothing. Thread-safe.
 */
public final class UpstreamObservations {
    /**
     * Latest reports of one upstream. Immutable.
     *
     * @param announcement latest announcement
     * @param load latest load report of the same incarnation, null before the first
     * @param lastSeenNanos time at which the later of the two was received
     */
    public record Observation(
            Announcement announcement, @Nullable LoadReport load, long lastSeenNanos) {}

    private final Clocks mClocks;
    private final Map<UpstreamId, Observation> mObservations = new ConcurrentHashMap<>();

    /** Creates an empty store. */
    public UpstreamObservations(Clocks clocks) {
        mClocks = clocks;
    }

    /** Stores an announcement; one of an older incarnation is ignored. */
    public void upstreamAnnounced(Announcement announcement) {
        mObservations.merge(
                announcement.id(),
                new Observation(announcement, null, mClocks.nowNanos()),
                UpstreamObservations::newerObservation);
    }

    /**
     * Stores a load report; one of another incarnation or out of order is ignored.
     *
     * @return false if no announcement of the upstream is stored
     */
    public boolean loadReported(LoadReport report) {
        return null
                != mObservations.computeIfPresent(
                        report.id(),
                        (id, known) -> {
                            LoadReport load = known.load();
                            boolean same =
                                    known.announcement().incarnation() == report.incarnation();
                            boolean newer = load == null || load.sequence() < report.sequence();
                            return same && newer
                                    ? new Observation(
                                            known.announcement(), report, mClocks.nowNanos())
                                    : known;
                        });
    }

    /** Removes an upstream that leaves, unless a later incarnation is stored. */
    public void upstreamLeft(UpstreamId upstream, long incarnation) {
        mObservations.computeIfPresent(
                upstream,
                (id, known) -> known.announcement().incarnation() > incarnation ? known : null);
    }

    /** Returns the latest reports of an upstream, or null if there are none. */
    public @Nullable Observation find(UpstreamId upstream) {
        return mObservations.get(upstream);
    }

    /**
     * Removes the upstreams from which nothing was received within the timeout.
     *
     * @return the removed upstreams
     */
    public List<UpstreamId> removeSilentUpstreams(long timeoutNanos) {
        long nowNanos = mClocks.nowNanos();
        List<UpstreamId> silent =
                mObservations.entrySet().stream()
                        .filter(entry -> nowNanos - entry.getValue().lastSeenNanos() > timeoutNanos)
                        .map(Map.Entry::getKey)
                        .toList();
        silent.forEach(mObservations::remove);
        return silent;
    }

    private static Observation newerObservation(Observation known, Observation received) {
        long knownIncarnation = known.announcement().incarnation();
        long receivedIncarnation = received.announcement().incarnation();
        if (knownIncarnation > receivedIncarnation) {
            return known;
        }
        return knownIncarnation == receivedIncarnation
                ? new Observation(received.announcement(), known.load(), received.lastSeenNanos())
                : received;
    }
}
