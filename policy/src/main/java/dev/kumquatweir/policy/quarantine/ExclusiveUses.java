package dev.kumquatweir.policy.quarantine;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Upstreams reserved for suspects, by this instance and by others as far as it heard. Of two
 * instances that reserve one upstream, or one content, the one with the smaller name goes first; a
 * suspect that runs goes before all that wait. Not thread-safe: part of {@link Quarantine}.
 */
final class ExclusiveUses {
    /** A reservation that is not renewed belongs to a request that has ended. */
    private static final long RESERVATION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long SPREAD_NANOS = TimeUnit.SECONDS.toNanos(3);

    private record Key(String owner, UpstreamId upstream) {}

    private record Remote(ExclusiveUse use, long untilNanos) {}

    private record Reservation(String contentHash, UpstreamIncarnation place, long untilNanos) {}

    private final String mOwner;
    private final Map<UpstreamId, Reservation> mReserved = new HashMap<>();
    private final Map<Key, Remote> mRemote = new HashMap<>();

    ExclusiveUses(String owner) {
        mOwner = owner;
    }

    /** Reserves an upstream or renews that; returns false if another suspect goes first. */
    boolean reserve(String contentHash, UpstreamIncarnation place, long nowNanos) {
        Reservation known = mReserved.get(place.upstream());
        boolean taken =
                known == null
                        ? reserved(contentHash, nowNanos)
                        : !known.contentHash().equals(contentHash)
                                && known.untilNanos() - nowNanos > 0;
        if (taken || precededBy(contentHash, place.upstream(), nowNanos)) {
            return false;
        }
        mReserved.put(
                place.upstream(),
                new Reservation(contentHash, place, nowNanos + RESERVATION_NANOS));
        return true;
    }

    /** Ends a reservation. */
    void release(UpstreamId upstream) {
        mReserved.remove(upstream);
    }

    /** Returns whether this instance has reserved an upstream for a content. */
    boolean reserved(String contentHash, long nowNanos) {
        return mReserved.values().stream()
                .anyMatch(
                        reservation ->
                                reservation.contentHash().equals(contentHash)
                                        && reservation.untilNanos() - nowNanos > 0);
    }

    /** Returns whether another instance runs the same content alone, or goes first with it. */
    boolean elsewhere(String contentHash, long nowNanos) {
        return live(nowNanos).stream()
                .anyMatch(use -> use.contentHash().equals(contentHash) && precedes(use));
    }

    /** Returns the upstreams that are reserved by any instance. */
    Set<UpstreamId> upstreams(long nowNanos) {
        if (mReserved.isEmpty() && mRemote.isEmpty()) {
            return Set.of();
        }
        Set<UpstreamId> upstreams = new HashSet<>();
        mReserved.forEach(
                (upstream, reservation) -> {
                    if (reservation.untilNanos() - nowNanos > 0) {
                        upstreams.add(upstream);
                    }
                });
        live(nowNanos).forEach(use -> upstreams.add(use.upstream()));
        return upstreams;
    }

    /** Returns the number of upstreams that this instance has reserved. */
    int size() {
        return mReserved.size();
    }

    /** Returns the reservations of this instance, to be sent to others. */
    List<ExclusiveUse> own(long nowNanos) {
        List<ExclusiveUse> uses = new ArrayList<>();
        for (Reservation reservation : mReserved.values()) {
            if (reservation.untilNanos() - nowNanos > 0) {
                uses.add(use(reservation.contentHash(), reservation.place(), false));
            }
        }
        return uses;
    }

    ExclusiveUse use(String contentHash, UpstreamIncarnation place, boolean running) {
        return new ExclusiveUse(
                place.upstream(), place.incarnation(), contentHash, mOwner, running, SPREAD_NANOS);
    }

    /** Takes all uses of another instance in place of those that it sent before. */
    void absorb(String owner, List<ExclusiveUse> uses, long nowNanos) {
        if (owner.equals(mOwner)) {
            return;
        }
        mRemote.keySet().removeIf(key -> key.owner().equals(owner));
        for (ExclusiveUse use : uses) {
            long remaining = Math.min(use.remainingNanos(), SPREAD_NANOS);
            mRemote.put(new Key(owner, use.upstream()), new Remote(use, nowNanos + remaining));
        }
    }

    void expire(long nowNanos) {
        mReserved.values().removeIf(reservation -> reservation.untilNanos() - nowNanos <= 0);
        mRemote.values().removeIf(remote -> remote.untilNanos() - nowNanos <= 0);
    }

    private boolean precededBy(String contentHash, UpstreamId upstream, long nowNanos) {
        return live(nowNanos).stream()
                .anyMatch(
                        use ->
                                (use.upstream().equals(upstream)
                                                || use.contentHash().equals(contentHash))
                                        && precedes(use));
    }

    private boolean precedes(ExclusiveUse use) {
        return use.running() || use.owner().compareTo(mOwner) < 0;
    }

    private List<ExclusiveUse> live(long nowNanos) {
        return mRemote.values().stream()
                .filter(remote -> remote.untilNanos() - nowNanos > 0)
                .map(Remote::use)
                .toList();
    }
}
