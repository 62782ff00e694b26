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
 * Table of the upstreams reserved for suspects, by this instance and by others that reported it. If
 * two instances reserve the same upstream, or an upstream for the same content, the instance with
 * the smaller name takes precedence; a running suspect takes precedence over all that wait. Not
 * thread-safe: part of {@link Quarantine}.
 */
final class ExclusiveUseTable {
    /** Reservations expire after this time without renewal, since their request has then ended. */
    private static final long RESERVATION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long REMOTE_USE_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(3);

    private record Key(String owner, UpstreamId upstream) {}

    private record Remote(ExclusiveUse use, long untilNanos) {}

    private record Reservation(
            String contentHash, UpstreamIncarnation incarnation, long untilNanos) {}

    private final String mOwner;
    private final Map<UpstreamId, Reservation> mReserved = new HashMap<>();
    private final Map<Key, Remote> mRemote = new HashMap<>();

    ExclusiveUseTable(String owner) {
        mOwner = owner;
    }

    /**
     * Reserves an upstream or renews its reservation; returns false if another suspect takes
     * precedence.
     */
    boolean reserve(String contentHash, UpstreamIncarnation incarnation, long nowNanos) {
        Reservation known = mReserved.get(incarnation.upstream());
        boolean taken =
                known == null
                        ? reserved(contentHash, nowNanos)
                        : !known.contentHash().equals(contentHash)
                                && known.untilNanos() - nowNanos > 0;
        if (taken || hasPrecedingUse(contentHash, incarnation.upstream(), nowNanos)) {
            return false;
        }
        mReserved.put(
                incarnation.upstream(),
                new Reservation(contentHash, incarnation, nowNanos + RESERVATION_NANOS));
        return true;
    }

    /** Releases a reservation. */
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

    /** Returns whether another instance runs the same content alone or takes precedence with it. */
    boolean elsewhere(String contentHash, long nowNanos) {
        return live(nowNanos).stream()
                .anyMatch(use -> use.contentHash().equals(contentHash) && precedes(use));
    }

    /** Returns the upstreams reserved by any instance. */
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

    /** Returns the number of upstreams reserved by this instance. */
    int size() {
        return mReserved.size();
    }

    /** Returns the reservations of this instance as messages to the others. */
    List<ExclusiveUse> own(long nowNanos) {
        List<ExclusiveUse> uses = new ArrayList<>();
        for (Reservation reservation : mReserved.values()) {
            if (reservation.untilNanos() - nowNanos > 0) {
                uses.add(use(reservation.contentHash(), reservation.incarnation(), false));
            }
        }
        return uses;
    }

    ExclusiveUse use(String contentHash, UpstreamIncarnation incarnation, boolean running) {
        return new ExclusiveUse(
                incarnation.upstream(),
                incarnation.incarnation(),
                contentHash,
                mOwner,
                running,
                REMOTE_USE_LIFETIME_NANOS);
    }

    /** Replaces all uses that another instance sent before. */
    void absorb(String owner, List<ExclusiveUse> uses, long nowNanos) {
        if (owner.equals(mOwner)) {
            return;
        }
        mRemote.keySet().removeIf(key -> key.owner().equals(owner));
        for (ExclusiveUse use : uses) {
            long remaining = Math.min(use.remainingNanos(), REMOTE_USE_LIFETIME_NANOS);
            mRemote.put(new Key(owner, use.upstream()), new Remote(use, nowNanos + remaining));
        }
    }

    void expire(long nowNanos) {
        mReserved.values().removeIf(reservation -> reservation.untilNanos() - nowNanos <= 0);
        mRemote.values().removeIf(remote -> remote.untilNanos() - nowNanos <= 0);
    }

    private boolean hasPrecedingUse(String contentHash, UpstreamId upstream, long nowNanos) {
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
