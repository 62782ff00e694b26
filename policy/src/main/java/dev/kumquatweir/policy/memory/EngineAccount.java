package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.AttemptId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Account of one incarnation of an engine. Not thread-safe: part of {@link MemoryLedger}. */
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

    /** Handles and attempt ids may be equal, so they are kept apart. */
    static String exportKey(String handle) {
        return "export " + handle;
    }

    /**
     * Returns whether something has been listed for long enough without an owner.
     *
     * @param timeoutNanos how long is enough, {@code Long.MAX_VALUE} while it has an owner
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
     * Returns reservations that were old when the listing was asked for and that it lacks twice.
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
