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
    private final Map<String, Long> mOrphanSince = new HashMap<>();
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

    long free() {
        return Math.max(0, mMemoryTokens - mReservedTokens - mForeignTokens);
    }

    boolean reserved(AttemptId attempt) {
        return mReservations.containsKey(attempt);
    }

    List<AttemptId> attempts() {
        return List.copyOf(mReservations.keySet());
    }

    void reserve(AttemptId attempt, long tokens, long nowNanos) {
        release(attempt);
        mReservations.put(attempt, new Reservation(tokens, nowNanos));
        mReservedTokens += tokens;
    }

    void release(AttemptId attempt) {
        Reservation ended = mReservations.remove(attempt);
        mReservedTokens -= ended == null ? 0 : ended.mTokens;
    }

    void exported(String handle, AttemptId owner) {
        mExports.put(handle, owner);
    }

    void exportReleased(String handle) {
        mExports.remove(handle);
    }

    void neededExports(Set<String> handles) {
        mNeededExports = Set.copyOf(handles);
    }

    boolean needsExport(String handle) {
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
     * @param patienceNanos minimum time without an owner, {@code Long.MAX_VALUE} if it has one now
     */
    boolean orphaned(String key, long patienceNanos, long nowNanos) {
        if (patienceNanos == Long.MAX_VALUE) {
            mOrphanSince.remove(key);
            return false;
        }
        Long since = mOrphanSince.putIfAbsent(key, nowNanos);
        return since != null && nowNanos - since >= patienceNanos;
    }

    void listed(Set<String> listed, long foreignTokens) {
        mForeignTokens = foreignTokens;
        mOrphanSince.keySet().retainAll(listed);
    }

    /**
     * Returns the reserved attempts that are absent from two successive listings. A listing counts
     * for a reservation only if it was requested at least the grace time after the reservation.
     */
    List<AttemptId> missing(Set<String> listed, long askedNanos, long graceNanos) {
        List<AttemptId> missing = new ArrayList<>();
        mReservations.forEach(
                (attempt, reservation) -> {
                    boolean lacking =
                            !listed.contains(attempt.value())
                                    && askedNanos - reservation.mSinceNanos >= graceNanos;
                    reservation.mLacking = lacking ? reservation.mLacking + 1 : 0;
                    if (reservation.mLacking >= 2) {
                        missing.add(attempt);
                    }
                });
        return missing;
    }

    private static final class Reservation {
        private final long mTokens;
        private final long mSinceNanos;
        private int mLacking;

        Reservation(long tokens, long sinceNanos) {
            mTokens = tokens;
            mSinceNanos = sinceNanos;
        }
    }
}
