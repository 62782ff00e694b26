package dev.kumquatweir.policy.registry;

import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Registry of the upstreams that have announced themselves and still report. Not thread-safe: owned
 * by the dispatch duty.
 */
public final class UpstreamRegistry {
    /** Time without a message after which an upstream gets no new work. */
    public static final long SUSPECT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Time without a message after which an upstream is removed. */
    public static final long EXPIRY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<UpstreamId, UpstreamState> mUpstreams = new HashMap<>();

    /**
     * Registers an announcement. Announcements of older incarnations are ignored.
     *
     * @return true if it is a new upstream or a new incarnation of a known one
     */
    public boolean announce(Announcement announcement, long nowNanos) {
        UpstreamState known = mUpstreams.get(announcement.id());
        if (known == null || known.announcement().incarnation() < announcement.incarnation()) {
            UpstreamState fresh = new UpstreamState(announcement, null, nowNanos, nowNanos);
            mUpstreams.put(announcement.id(), fresh);
            return true;
        }
        if (known.announcement().incarnation() == announcement.incarnation()) {
            UpstreamState repeated =
                    new UpstreamState(
                            announcement, known.load(), nowNanos, known.loadReceivedNanos());
            mUpstreams.put(announcement.id(), repeated);
        }
        return false;
    }

    /**
     * Records a load report. Reports that arrive out of order are ignored.
     *
     * @return false if the upstream or this incarnation is unknown and has to announce itself
     */
    public boolean report(LoadReport load, long nowNanos) {
        UpstreamState known = mUpstreams.get(load.id());
        if (known == null || known.announcement().incarnation() != load.incarnation()) {
            return known != null && known.announcement().incarnation() > load.incarnation();
        }
        LoadReport last = known.load();
        if (last == null || last.sequence() < load.sequence()) {
            mUpstreams.put(
                    load.id(), new UpstreamState(known.announcement(), load, nowNanos, nowNanos));
        }
        return true;
    }

    /** Removes an upstream that shuts down, unless a newer incarnation is known. */
    public void leave(UpstreamId id, long incarnation) {
        mUpstreams.computeIfPresent(
                id,
                (key, state) -> state.announcement().incarnation() <= incarnation ? null : state);
    }

    /**
     * Removes and returns the upstreams that have not reported within {@link
     * #EXPIRY_TIMEOUT_NANOS}.
     */
    public List<UpstreamState> expire(long nowNanos) {
        List<UpstreamState> silent =
                mUpstreams.values().stream()
                        .filter(state -> nowNanos - state.lastSeenNanos() >= EXPIRY_TIMEOUT_NANOS)
                        .toList();
        silent.forEach(state -> mUpstreams.remove(state.announcement().id()));
        return silent;
    }

    /** Returns an upstream, if it is known. */
    public Optional<UpstreamState> find(UpstreamId id) {
        return Optional.ofNullable(mUpstreams.get(id));
    }

    /** Returns a live view of all known upstreams, including those suspected to be down. */
    public Collection<UpstreamState> all() {
        return mUpstreams.values();
    }

    /** Returns the upstreams of a service that reported within {@link #SUSPECT_TIMEOUT_NANOS}. */
    public List<UpstreamState> live(ServiceName service, long nowNanos) {
        return mUpstreams.values().stream()
                .filter(state -> state.announcement().service().equals(service))
                .filter(state -> nowNanos - state.lastSeenNanos() < SUSPECT_TIMEOUT_NANOS)
                .toList();
    }
}
