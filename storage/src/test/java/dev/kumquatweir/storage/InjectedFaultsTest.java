package dev.kumquatweir.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import io.vavr.control.Either;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Brings about each fault at each file operation of a workload, one after the other. */
class InjectedFaultsTest {
    private static FileLogStore open(FaultyFolder folder) {
        return new FileLogStore(folder, Workload.SEGMENT_BYTES);
    }

    private static int operationsOfWorkload(long seed) {
        FaultyFolder folder = new FaultyFolder(seed);
        FileLogStore store = open(folder);
        store.load().get();
        Workload.groups().forEach(group -> store.write(group).get());
        return folder.operations();
    }

    /** Guards against acknowledged changes that a restart without any fault does not return. */
    @Test
    void restartAfterEachGroupReturnsWhatWasWritten() {
        Workload.Model model = new Workload.Model();
        FaultyFolder folder = new FaultyFolder(5);
        FileLogStore store = open(folder);
        store.load().get();
        for (List<StorageWrite> group : Workload.groups()) {
            long last = group.getLast().sequence();
            assertThat(store.write(group).get().sequence(), is(last));
            model.apply(group);
            StoredState stored = open(folder.copy()).load().get();
            assertThat(model.difference(stored, List.of()), is(""));
        }
    }

    /** Guards against acknowledged changes lost, or a store refused, after a loss of power. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void lossOfPowerKeepsWhatWasAcknowledged(long seed) {
        int operations = operationsOfWorkload(seed);
        assertThat(operations, greaterThan(50));
        for (int operation = 1; operation <= operations; operation++) {
            String where = "seed " + seed + " operation " + operation;
            Workload.Model model = new Workload.Model();
            FaultyFolder folder =
                    new FaultyFolder(seed).failAt(FaultyFolder.Fault.CRASH, operation);
            List<StorageWrite> unfinished = runUntilFailure(open(folder), model).unfinished();
            FaultyFolder left = folder.afterCrash(seed * 1_000 + operation);
            Either<StorageFailure, StoredState> loaded = open(left).load();
            assertThat(where + loaded, loaded.isRight(), is(true));
            assertThat(where, model.difference(loaded.get(), unfinished), is(""));
            assertGoesOn(where, left, loaded.get());
        }
    }

    /**
     * Guards against a start that returns what only the cache of the operating system holds: a
     * process is killed at each operation, starts again, and then power is lost.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void lossOfPowerKeepsWhatEachStartReturned(long seed) {
        int operations = operationsOfWorkload(seed);
        for (int operation = 1; operation <= operations; operation++) {
            String where = "seed " + seed + " operation " + operation;
            FaultyFolder folder =
                    new FaultyFolder(seed).failAt(FaultyFolder.Fault.CRASH, operation);
            runUntilFailure(open(folder), new Workload.Model());
            folder.repair();
            StoredState returned = open(folder).load().get();
            FaultyFolder left = folder.afterCrash(seed * 1_000 + operation);
            assertThat(where, open(left).load().get(), is(returned));
        }
    }

    /** Guards against a full disk that damages the log, ends service or loses what was stored. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void fullDiskRefusesAndGoesOnWhenSpaceReturns(long seed) {
        int operations = operationsOfWorkload(seed);
        for (int operation = 1; operation <= operations; operation++) {
            String where = "seed " + seed + " operation " + operation;
            Workload.Model model = new Workload.Model();
            FaultyFolder folder =
                    new FaultyFolder(seed).failAt(FaultyFolder.Fault.NO_SPACE, operation);
            FileLogStore store = open(folder);
            if (store.load().isLeft()) {
                folder.repair();
                store = open(folder);
                store.load().get();
            }
            for (List<StorageWrite> group : Workload.groups()) {
                Either<StorageFailure, StorageCompletion> result = store.write(group);
                if (result.isLeft()) {
                    assertThat(where, result.getLeft(), instanceOf(StorageFailure.DiskFull.class));
                    StoredState atFault = open(folder.copy()).load().get();
                    assertThat(where, model.difference(atFault, group), is(""));
                    folder.repair();
                    result = store.write(group);
                }
                assertThat(where + result, result.isRight(), is(true));
                model.apply(group);
            }
            StoredState stored = open(folder.afterCrash(operation)).load().get();
            assertThat(where, model.difference(stored, List.of()), is(""));
        }
    }

    /** Guards against a failed sync that is retried, or followed by an acknowledgement. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void failedSyncEndsTheStore(long seed) {
        int operations = operationsOfWorkload(seed);
        for (int operation = 1; operation <= operations; operation++) {
            String where = "seed " + seed + " operation " + operation;
            Workload.Model model = new Workload.Model();
            FaultyFolder folder =
                    new FaultyFolder(seed).failAt(FaultyFolder.Fault.SYNC_FAILS, operation);
            FileLogStore store = open(folder);
            Run run = runUntilFailure(store, model);
            if (run.unfinished().isEmpty()) {
                // The workload's last operations are deletions, after its last sync.
                continue;
            }
            int before = folder.operations();
            if (!run.loadFailed()) {
                Either<StorageFailure, StorageCompletion> again = store.write(run.unfinished());
                assertThat(where, again.getLeft(), instanceOf(StorageFailure.SyncFailed.class));
            }
            assertThat(where, folder.operations(), is(before));
            StoredState stored = open(folder.afterCrash(operation)).load().get();
            assertThat(where, model.difference(stored, run.unfinished()), is(""));
        }
    }

    /** Guards against a first start that doesn't go on once there is room, wherever it ended. */
    @ParameterizedTest
    @EnumSource(
            value = FaultyFolder.Fault.class,
            names = {"NO_SPACE", "SYNC_WITHOUT_SPACE"})
    void newFolderIsLoadedOnceThereIsRoom(FaultyFolder.Fault fault) {
        FaultyFolder sample = new FaultyFolder(1);
        open(sample).load().get();
        int refused = 0;
        for (int operation = 1; operation <= sample.operations(); operation++) {
            FaultyFolder folder = new FaultyFolder(1).failAt(fault, operation);
            FileLogStore store = open(folder);
            Either<StorageFailure, StoredState> loaded = store.load();
            if (loaded.isLeft()) {
                refused++;
                String where = "operation " + operation;
                assertThat(where, loaded.getLeft(), instanceOf(StorageFailure.DiskFull.class));
                store.close();
                folder.repair();
                assertThat(where, open(folder.copy()).load().isRight(), is(true));
            }
        }
        assertThat(refused, greaterThan(1));
    }

    /** Guards against a folder that stays locked for the next attempt of the same process. */
    @Test
    void folderIsClosedThoughItsFilesCanNotBe() {
        FaultyFolder folder = new FaultyFolder(1);
        FileLogStore store = open(folder);
        store.load().get();
        store.write(Workload.groups().getFirst()).get();
        folder.failAt(FaultyFolder.Fault.CLOSE_FAILS, 0);
        store.close();
        assertThat(folder.closed(), is(true));
    }

    private record Run(List<StorageWrite> unfinished, boolean loadFailed) {}

    private static Run runUntilFailure(FileLogStore store, Workload.Model model) {
        if (store.load().isLeft()) {
            return new Run(Workload.groups().getFirst(), true);
        }
        for (List<StorageWrite> group : Workload.groups()) {
            if (store.write(group).isLeft()) {
                return new Run(group, false);
            }
            model.apply(group);
        }
        return new Run(List.of(), false);
    }

    private static void assertGoesOn(String where, FaultyFolder folder, StoredState first) {
        FileLogStore store = open(folder);
        StoredState stored = store.load().get();
        assertThat(where, stored, is(first));
        long last =
                stored.entries().isEmpty()
                        ? stored.snapshot().map(image -> image.index()).orElse(0L)
                        : stored.entries().getLast().index();
        StorageWrite next = Workload.append(1, Workload.entries(last + 1, last + 3, 9));
        assertThat(where, store.write(List.of(next)).get(), is(new StorageCompletion(1, last + 3)));
        StoredState after = open(folder.afterCrash(1)).load().get();
        assertThat(where, after.entries().getLast(), is(Workload.entry(last + 3, 9)));
        assertThat(where, after.storeId(), is(first.storeId()));
    }
}
