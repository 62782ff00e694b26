package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.AttemptId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Memory account of one incarnation of an engine: reservations and exports of this instance, and
 * the memory used by others. Not thread-safe: owned by {@link MemoryLedger}.
 */
final class EngineAccount {
    private final long mIncarnation;
    private final long mMemoryTokens;
    private final Map<AttemptId, Reservation> mReservations = new HashMap<>();
    private final Map<String, AttemptId> mExports = new HashMap<>();
    private final Map<String, Long> mOrphanedSinceNanos = new HashMap<>();
    private Set<String> mNeededExports = Set.of();
    private long mReservedTokens;
    private long mForeignTokens;

    EngineAccount(long incarnation, long memoryTokens) {
        mIncarnation = incarnation;
        mMemoryTokens = memoryTokens;
    }

    long incarnation() {
        return mIncarnation;
    }

    long freeTokens() {
        return Math.max(0, mMemoryTokens - mReservedTokens - mForeignTokens);
    }

    boolean isReserved(AttemptId attempt) {
        return mReservations.containsKey(attempt);
    }

    List<AttemptId> reservedAttempts() {
        return List.copyOf(mReservations.keySet());
    }

    void reserve(AttemptId attempt, long tokens, long nowNanos) {
        release(attempt);
        mReservations.put(attempt, new Reservation(tokens, nowNanos));
        mReservedTokens += tokens;
    }

    void release(AttemptId attempt) {
        Reservation released = mReservations.remove(attempt);
        mReservedTokens -= released == null ? 0 : released.mTokens;
    }

    void addExport(String handle, AttemptId owner) {
        mExports.put(handle, owner);
    }

    void removeExport(String handle) {
        mExports.remove(handle);
    }

    void setNeededExports(Set<String> handles) {
        mNeededExports = Set.copyOf(handles);
    }

    boolean isExportNeeded(String handle) {
        return mNeededExports.contains(handle);
    }

    @Nullable AttemptId exportOwner(String handle) {
        return mExports.get(handle);
    }

    /** Returns the key of an export. The prefix is needed as a handle may equal an attempt id. */
    static String exportKey(String handle) {
        return "export " + handle;
    }

    /**
     * Returns whether a listed attempt or export has been without an owner for the given time.
     *
     * @param timeoutNanos minimum time without an owner, {@code Long.MAX_VALUE} if it has one now
     */
    boolean orphanTimedOut(String key, long timeoutNanos, long nowNanos) {
        if (timeoutNanos == Long.MAX_VALUE) {
            mOrphanedSinceNanos.remove(key);
            return false;
        }
        Long since = mOrphanedSinceNanos.putIfAbsent(key, nowNanos);
        return since != null && nowNanos - since >= timeoutNanos;
    }

    void applyListing(Set<String> listed, long foreignTokens) {
        mForeignTokens = foreignTokens;
        mOrphanedSinceNanos.keySet().retainAll(listed);
    }

    /**
     * Returns the reserved attempts that are absent from two successive listings. A listing counts
     * for a reservation only if it was requested at least the grace time after the reservation.
     */
    List<AttemptId> missingAttempts(Set<String> listed, long requestedNanos, long graceNanos) {
        List<AttemptId> missing = new ArrayList<>();
        mReservations.forEach(
                (attempt, reservation) -> {
                    boolean absent =
                            !listed.contains(attempt.value())
                                    && requestedNanos - reservation.mReservedNanos >= graceNanos;
                    reservation.mAbsentListings = absent ? reservation.mAbsentListings + 1 : 0;
                    if (reservation.mAbsentListings >= 2) {
                        missing.add(attempt);
                    }
                });
        return missing;
    }

    private static final class Reservation {
        private final long mTokens;
        private final long mReservedNanos;
        private int mAbsentListings;

        Reservation(long tokens, long reservedNanos) {
            mTokens = tokens;
            mReservedNanos = reservedNanos;
        }
    }
}
