package dev.kumquatweir.agreement.port;

import java.util.List;
import java.util.Optional;

/**
 * One batch of changes to a log store. Immutable.
 *
 * <p>The changes are applied in the order of the components: hard state, snapshot, truncation,
 * append, compaction. A crash may leave any prefix of this order (and of the appended entries) on
 * disk; the Raft core does not rely on any part of a batch until its completion is reported.
 *
 * @param sequence number of the batch, from 1 at the start of the process, without gaps
 * @param hardState term and vote to store, if they changed
 * @param snapshot snapshot to store, if there is a new one; the older one may be deleted once it is
 *     synced. Entries up to its index stay until {@code compactThrough} removes them
 * @param truncateFrom entries with this index and above are removed before the append (1 empties
 *     the log, as a received snapshot does); {@link #NO_INDEX} for none
 * @param entries entries to append, contiguous; the first follows the last one that is stored, or
 *     the snapshot's index if the log is empty after the truncation
 * @param compactThrough entries up to this index may be deleted once the batch is synced; at most
 *     the index of the stored snapshot; {@link #NO_INDEX} for none. A store may keep them longer
 */
public record StorageWrite(
        long sequence,
        Optional<HardState> hardState,
        Optional<SnapshotImage> snapshot,
        long truncateFrom,
        List<LogEntry> entries,
        long compactThrough) {
    /** Index that stands for no truncation or no compaction. */
    public static final long NO_INDEX = 0;

    /** Copies the list, so that the record is immutable. */
    public StorageWrite {
        entries = List.copyOf(entries);
    }
}
