package dev.kumquatweir.storage;

import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.MemberRole;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import dev.kumquatweir.core.bytes.Bytes;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import org.jspecify.annotations.Nullable;

/** Batches that use each part of a write, and what a store must hold after them. */
final class Workload {
    /** Small enough that the workload fills several segments. */
    static final long SEGMENT_BYTES = 200;

    static final Membership MEMBERSHIP =
            new Membership(
                    List.of(new Member(new MemberId("a", "s"), MemberRole.VOTER, "127.0.0.1:1")));

    private Workload() {}

    static LogEntry entry(long index, long term) {
        byte[] payload = new byte[(int) (index * 7 % 41)];
        for (int position = 0; position < payload.length; position++) {
            payload[position] = (byte) (index % 3 == 0 ? 0 : index * 31 + term + position);
        }
        return new LogEntry(index, term, Bytes.copyOf(payload), EntryKind.COMMAND);
    }

    static List<LogEntry> entries(long first, long last, long term) {
        return LongStream.rangeClosed(first, last).mapToObj(index -> entry(index, term)).toList();
    }

    static StorageWrite append(long sequence, List<LogEntry> entries) {
        return write(sequence, null, null, 0, entries, 0);
    }

    static SnapshotImage snapshot(long index, long term) {
        return new SnapshotImage(index, term, MEMBERSHIP, Bytes.ofText("state at " + index));
    }

    /** Groups that are written one after the other; each is one call of the store. */
    static List<List<StorageWrite>> groups() {
        HardState first = new HardState(1, "a");
        HardState second = new HardState(2, "");
        HardState third = new HardState(3, "b");
        return List.of(
                List.of(write(1, first, null, 0, List.of(), 0)),
                List.of(append(2, entries(1, 4, 1)), append(3, entries(5, 9, 1))),
                List.of(append(4, entries(10, 12, 1)), write(5, second, null, 0, List.of(), 0)),
                // A new leader replaces the end of the log, in one group with an append before it.
                List.of(
                        append(6, entries(13, 14, 2)),
                        write(7, third, null, 8, entries(8, 16, 3), 0)),
                // An own snapshot; some entries below it stay.
                List.of(write(8, null, snapshot(12, 3), 0, entries(17, 18, 3), 9)),
                // A received snapshot beyond the log.
                List.of(write(9, null, snapshot(40, 3), 1, List.of(), 40)),
                List.of(append(10, entries(41, 43, 3)), append(11, entries(44, 60, 3))),
                List.of(write(12, null, snapshot(60, 3), 0, List.of(), 60)),
                List.of(append(13, entries(61, 62, 3))),
                // A received snapshot that the log below it is not truncated for.
                List.of(
                        append(14, entries(63, 63, 3)),
                        write(15, null, snapshot(80, 4), 0, entries(81, 83, 4), 0)),
                List.of(append(16, entries(84, 85, 4))));
    }

    /** What the completed groups leave: hard state, snapshot and log. */
    static final class Model {
        private HardState mHardState = HardState.INITIAL;
        private Optional<SnapshotImage> mSnapshot = Optional.empty();
        private List<LogEntry> mEntries = new ArrayList<>();

        void apply(List<StorageWrite> group) {
            for (StorageWrite write : group) {
                mHardState = write.hardState().orElse(mHardState);
                mSnapshot = write.snapshot().or(() -> mSnapshot);
                if (write.truncateFrom() != StorageWrite.NO_INDEX) {
                    mEntries.removeIf(entry -> entry.index() >= write.truncateFrom());
                }
                mEntries.addAll(write.entries());
            }
        }

        /** Returns what of the completed groups is wrong or missing, or an empty text. */
        String difference(StoredState stored, List<StorageWrite> unfinished) {
            Model after = new Model();
            after.mHardState = mHardState;
            after.mSnapshot = mSnapshot;
            after.mEntries = new ArrayList<>(mEntries);
            after.apply(unfinished);
            if (!List.of(mHardState, after.mHardState).contains(stored.hardState())) {
                return "hard state " + stored.hardState();
            }
            if (!List.of(mSnapshot, after.mSnapshot).contains(stored.snapshot())) {
                return "snapshot " + stored.snapshot();
            }
            long covered = stored.snapshot().map(SnapshotImage::index).orElse(0L);
            long truncated =
                    unfinished.stream()
                            .mapToLong(StorageWrite::truncateFrom)
                            .filter(index -> index != StorageWrite.NO_INDEX)
                            .min()
                            .orElse(Long.MAX_VALUE);
            Predicate<LogEntry> required =
                    entry -> entry.index() > covered && entry.index() < truncated;
            Optional<LogEntry> missing =
                    mEntries.stream()
                            .filter(required.and(entry -> !stored.entries().contains(entry)))
                            .findFirst();
            List<LogEntry> known = new ArrayList<>(mEntries);
            unfinished.forEach(write -> known.addAll(write.entries()));
            Optional<LogEntry> unknown =
                    stored.entries().stream().filter(entry -> !known.contains(entry)).findFirst();
            return missing.map(entry -> "missing " + entry).orElse("")
                    + unknown.map(entry -> "unknown " + entry).orElse("");
        }
    }

    static StorageWrite write(
            long sequence,
            @Nullable HardState hardState,
            @Nullable SnapshotImage snapshot,
            long truncateFrom,
            List<LogEntry> entries,
            long compactThrough) {
        return new StorageWrite(
                sequence,
                Optional.ofNullable(hardState),
                Optional.ofNullable(snapshot),
                truncateFrom,
                entries,
                compactThrough);
    }
}
