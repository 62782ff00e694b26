package dev.kumquatweir.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StoredState;
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
}
