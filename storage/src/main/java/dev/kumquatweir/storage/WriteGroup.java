package dev.kumquatweir.storage;

import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StorageWrite;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The combined effect of several batches that share one sync. Entries that a later batch of the
 * group removes are never written. So a group that found no space can be written again from the
 * start: its truncation may have happened already, and an entry that only made sense before that
 * truncation does not come up again.
 *
 * @param hardState last hard state of the group
 * @param snapshot last snapshot of the group
 * @param truncateFrom entries from this index on are removed before the append, {@link
 *     StorageWrite#NO_INDEX} for none
 * @param entries entries to append, contiguous
 * @param compactThrough entries up to this index may be deleted after the sync
 */
record WriteGroup(
        Optional<HardState> hardState,
        Optional<SnapshotImage> snapshot,
        long truncateFrom,
        List<LogEntry> entries,
        long compactThrough) {

    /** Combines batches; throws {@link IllegalArgumentException} if their entries have a gap. */
    static WriteGroup of(List<StorageWrite> writes, long lastIndex, long snapshotIndex) {
        Optional<HardState> hardState = Optional.empty();
        Optional<SnapshotImage> snapshot = Optional.empty();
        long truncateFrom = Long.MAX_VALUE;
        long compactThrough = StorageWrite.NO_INDEX;
        List<LogEntry> entries = new ArrayList<>();
        for (StorageWrite write : writes) {
            hardState = write.hardState().or(keep(hardState));
            snapshot = write.snapshot().or(keep(snapshot));
            compactThrough = Math.max(compactThrough, write.compactThrough());
            if (write.truncateFrom() != StorageWrite.NO_INDEX) {
                truncateFrom = Math.min(truncateFrom, write.truncateFrom());
                entries.removeIf(entry -> entry.index() >= write.truncateFrom());
            }
            entries.addAll(write.entries());
        }
        long covered = snapshot.map(SnapshotImage::index).orElse(snapshotIndex);
        if (!entries.isEmpty()) {
            int gap = lastGap(entries);
            entries.subList(0, gap).clear();
            long first = entries.getFirst().index();
            long expected = Math.min(lastIndex, truncateFrom - 1) + 1;
            if (gap > 0 || first != expected) {
                requireFollowsSnapshot(first, expected, covered);
                truncateFrom = 1;
            }
        }
        return new WriteGroup(
                hardState,
                snapshot,
                truncateFrom == Long.MAX_VALUE ? StorageWrite.NO_INDEX : truncateFrom,
                List.copyOf(entries),
                Math.min(compactThrough, covered));
    }

    /** The snapshot covers the whole log, which would leave a gap before the new entries. */
    private static void requireFollowsSnapshot(long first, long expected, long covered) {
        if (first != covered + 1 || expected > first) {
            throw new IllegalArgumentException(
                    "entry "
                            + first
                            + " follows neither entry "
                            + (expected - 1)
                            + " nor the snapshot at "
                            + covered);
        }
    }

    private static int lastGap(List<LogEntry> entries) {
        for (int position = entries.size() - 1; position > 0; position--) {
            if (entries.get(position).index() != entries.get(position - 1).index() + 1) {
                return position;
            }
        }
        return 0;
    }

    private static <T> Supplier<Optional<T>> keep(Optional<T> earlier) {
        return () -> earlier;
    }
}
