package dev.kumquatweir.agreement.port;

import java.util.List;
import java.util.Optional;

/**
 * All that a log store holds at start. Immutable.
 *
 * <p>The entries are contiguous and ascending. With a snapshot at index i they may begin at any
 * index up to i + 1. A store that finds entries beginning after i + 1, or an entry at index i whose
 * term differs from the snapshot's, was interrupted between writing a received snapshot and
 * truncating the log; it returns no entries then.
 *
 * @param storeId random id of the data folder, made when the folder was first used
 * @param hardState term and vote
 * @param snapshot newest complete snapshot, if any
 * @param entries the log
 */
public record StoredState(
        String storeId,
        HardState hardState,
        Optional<SnapshotImage> snapshot,
        List<LogEntry> entries) {
    /** Copies the list. */
    public StoredState {
        entries = List.copyOf(entries);
    }

    /** Returns the state of a new, empty store. */
    public static StoredState empty(String storeId) {
        return new StoredState(storeId, HardState.INITIAL, Optional.empty(), List.of());
    }
}
