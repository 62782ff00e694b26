package dev.kumquatweir.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import io.vavr.control.Either;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Folders whose log was not cut where the snapshot covers it, as earlier builds leave them. */
class CoveredSegmentsTest {
    private static final long SNAPSHOT_INDEX = 390;
    private static final long LAST_INDEX = 400;

    private static FileLogStore open(FaultyFolder folder) {
        return new FileLogStore(folder, Workload.SEGMENT_BYTES);
    }

    /** Makes a store with entries 1 to 400 and a snapshot at 390. */
    private static FaultyFolder filled(long seed) {
        FaultyFolder folder = new FaultyFolder(seed);
        FileLogStore store = open(folder);
        store.load().get();
        store.write(
                        List.of(
                                Workload.append(1, Workload.entries(1, LAST_INDEX, 1)),
                                Workload.write(
                                        2,
                                        null,
                                        Workload.snapshot(SNAPSHOT_INDEX, 1),
                                        0,
                                        List.of(),
                                        0)))
                .get();
        return folder.copy();
    }

    private static void assertComplete(String where, StoredState stored) {
        assertThat(where, stored.snapshot().orElseThrow().index(), is(SNAPSHOT_INDEX));
        long first = stored.entries().getFirst().index();
        assertThat(where, first, lessThan(SNAPSHOT_INDEX + 1));
        assertThat(where, stored.entries(), is(Workload.entries(first, LAST_INDEX, 1)));
    }

    /** Guards against a start that reads a log larger than the heap, and ends each time. */
    @Test
    void startReadsLittleOfWhatTheSnapshotCovers() {
        FaultyFolder folder = filled(1);
        long before = folder.usedBytes();
        StoredState stored = open(folder).load().get();
        assertComplete("", stored);
        long covered =
                stored.entries().stream()
                        .filter(entry -> entry.index() <= SNAPSHOT_INDEX)
                        .mapToLong(LogRecord::sizeBytes)
                        .sum();
        // One segment, and the one that holds the entry at the snapshot's index.
        assertThat(covered, lessThan(3 * Workload.SEGMENT_BYTES));
        assertThat(folder.usedBytes(), lessThan(before / 4));
    }

    /** Guards against a gap in the log, or a lost entry, after a loss of power during the start. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void lossOfPowerWhileSegmentsAreRemovedLosesNothing(long seed) {
        FaultyFolder sample = filled(seed);
        open(sample).load().get();
        assertThat(sample.operations(), greaterThan(50));
        for (int operation = 1; operation <= sample.operations(); operation++) {
            String where = "seed " + seed + " operation " + operation;
            FaultyFolder folder = filled(seed).failAt(FaultyFolder.Fault.CRASH, operation);
            assertThat(where, open(folder).load().isLeft(), is(true));
            FaultyFolder left = folder.afterCrash(seed * 1_000 + operation);
            assertComplete(where, open(left).load().get());
        }
    }

    /** Guards against disks that stay full for ever once a build has filled them. */
    @Test
    void startOnFullDiskMakesRoomForChanges() {
        FaultyFolder folder = filled(1);
        folder.withCapacity(folder.usedBytes());
        FileLogStore store = open(folder);
        assertComplete("", store.load().get());
        List<LogEntry> entries = Workload.entries(LAST_INDEX + 1, LAST_INDEX + 50, 2);
        assertThat(
                store.write(List.of(Workload.append(1, entries))).get(),
                is(new StorageCompletion(1, LAST_INDEX + 50)));
    }

    /** Guards against a full disk that refuses each change although the log can be cut. */
    @Test
    void refusedGroupMakesRoomForItself() {
        FaultyFolder folder = filled(1);
        FileLogStore store = open(folder);
        store.load().get();
        StorageWrite kept = Workload.append(1, Workload.entries(LAST_INDEX + 1, 600, 1));
        StorageWrite snapshot = Workload.write(2, null, Workload.snapshot(600, 1), 0, List.of(), 0);
        store.write(List.of(kept, snapshot)).get();
        folder.withCapacity(folder.usedBytes());
        List<StorageWrite> group = List.of(Workload.append(3, Workload.entries(601, 650, 1)));
        Either<StorageFailure, StorageCompletion> refused = store.write(group);
        assertThat(refused.getLeft(), instanceOf(StorageFailure.DiskFull.class));
        assertThat(store.write(group).get(), is(new StorageCompletion(3, 650)));
        StoredState stored = open(folder.afterCrash(1)).load().get();
        assertThat(stored.entries().getLast(), is(Workload.entry(650, 1)));
    }

    /**
     * Guards against a group that can't be written again since its snapshot, which was stored
     * before its entries were refused, covers all of the stored log.
     */
    @Test
    void refusedGroupWithSnapshotAheadOfTheStoredLogIsWrittenAgain() {
        List<StorageWrite> group =
                List.of(
                        Workload.append(1, Workload.entries(LAST_INDEX + 1, 450, 1)),
                        Workload.write(2, null, Workload.snapshot(440, 1), 0, List.of(), 430),
                        Workload.append(3, Workload.entries(451, 470, 1)));
        FaultyFolder sample = filled(2);
        FileLogStore unlimited = open(sample);
        unlimited.load().get();
        int first = sample.operations();
        unlimited.write(group).get();
        for (int operation = first; operation <= sample.operations(); operation++) {
            String where = "operation " + operation;
            FaultyFolder folder = filled(2).failAt(FaultyFolder.Fault.NO_SPACE, operation);
            FileLogStore store = open(folder);
            store.load().get();
            if (store.write(group).isLeft()) {
                folder.repair();
                assertThat(where, store.write(group).get(), is(new StorageCompletion(3, 470)));
            }
            StoredState stored = open(folder.afterCrash(operation)).load().get();
            assertThat(where, stored.snapshot().orElseThrow().index(), is(440L));
            assertThat(where, stored.entries().getLast(), is(Workload.entry(470, 1)));
        }
    }
}
