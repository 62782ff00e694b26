package dev.kumquatweir.agreement.port;

import java.util.List;
import java.util.Optional;

/**
 * Content of a log store at start. Immutable.
 *
 * <p>The entries are contiguous and ascending. With a snapshot at index i they may begin at any
 * index up to i + 1. A store whose entries begin after i + 1 or end before i, or whose entry at
 * index i has another term than the snapshot, was interrupted between writing a received snapshot
 * and truncating the log. The Raft core ignores such entries and truncates the whole log with its
 * first batch; a store may also remove them itself and return none.
 *
 * @param storeId random id of the data folder, generated when the folder was first used
 * @param hardState term and vote
 * @param snapshot newest complete snapshot, if any
 * @param entries the log
 */
public record StoredState(
        String storeId,
        HardState hardState,
        Optional<SnapshotImage> snapshot,
        List<LogEntry> entries) {
    /** Copies the list, so that the record is immutable. */
    public StoredState {
        entries = List.copyOf(entries);
    }

    /** Returns the state of a new, empty store. */
    public static StoredState empty(String storeId) {
        return new StoredState(storeId, HardState.INITIAL, Optional.empty(), List.of());
    }
}
