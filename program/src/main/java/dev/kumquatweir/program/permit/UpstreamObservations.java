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
 * The newest word of each upstream, kept for the ledger of a leader. It is read when an upstream is
 * claimed, so that the reports of thousands of warm upstreams cost the control duty nothing.
 * Thread-safe.
 */
public final class UpstreamObservations {
    /**
     * What was heard of one upstream. Immutable.
     *
     * @param announcement its newest announcement
     * @param load its newest report of the same incarnation, null before the first
     * @param lastSeenNanos when the newest of the two was heard
     */
    public record Observation(
            Announcement announcement, @Nullable LoadReport load, long lastSeenNanos) {}

    private final Clocks mClocks;
    private final Map<UpstreamId, Observation> mObservations = new ConcurrentHashMap<>();

    /** Makes an empty collection. */
    public UpstreamObservations(Clocks clocks) {
        mClocks = clocks;
    }

    /** Takes an announcement; an older incarnation is ignored. */
    public void upstreamAnnounced(Announcement announcement) {
        mObservations.merge(
                announcement.id(),
                new Observation(announcement, null, mClocks.nowNanos()),
                UpstreamObservations::newerObservation);
    }

    /**
     * Takes a load report; one of another incarnation or out of order is ignored.
     *
     * @return false if the upstream's announcement is missing here
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

    /** Takes the word of an upstream that it leaves. */
    public void upstreamLeft(UpstreamId upstream, long incarnation) {
        mObservations.computeIfPresent(
                upstream,
                (id, known) -> known.announcement().incarnation() > incarnation ? known : null);
    }

    /** Returns what is known of an upstream, null if nothing is. */
    public @Nullable Observation find(UpstreamId upstream) {
        return mObservations.get(upstream);
    }

    /** Forgets upstreams that were not heard for so long and returns them. */
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
