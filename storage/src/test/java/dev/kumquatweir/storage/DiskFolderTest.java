package dev.kumquatweir.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DiskFolderTest {
    private final Path mPath;

    DiskFolderTest(@TempDir Path path) {
        mPath = path;
    }

    private static FileLogStore open(Path path) throws IOException {
        return new FileLogStore(DiskFolder.open(path), Workload.SEGMENT_BYTES);
    }

    /** Guards against file operations that behave otherwise than the folder in memory. */
    @Test
    void workloadSurvivesRestartOnTheRealFileSystem() throws IOException {
        Workload.Model model = new Workload.Model();
        try (FileLogStore store = open(mPath)) {
            store.load().get();
            for (List<StorageWrite> group : Workload.groups()) {
                store.write(group).get();
                model.apply(group);
            }
        }
        try (FileLogStore store = open(mPath)) {
            assertThat(model.difference(store.load().get(), List.of()), is(""));
        }
    }

    /** Guards against two stores that write to the same files, and against a lock that stays. */
    @Test
    void folderIsHeldByOneStoreAtOnce() throws IOException {
        FileLogStore first = open(mPath);
        first.load().get();
        try (FileLogStore second = open(mPath)) {
            assertThat(second.load().getLeft(), instanceOf(StorageFailure.Unusable.class));
        }
        try (FileLogStore third = open(mPath)) {
            assertThat(third.load().getLeft(), instanceOf(StorageFailure.Unusable.class));
        }
        first.close();
        try (FileLogStore fourth = open(mPath)) {
            assertThat(fourth.load().isRight(), is(true));
        }
    }

    /** Guards against a store that votes with forgotten state under its former identity. */
    @Test
    void storeIdStaysWithTheFolderAndIsNewInAnEmptyOne() throws IOException {
        String first = storeId(mPath.resolve("first"));
        assertThat(storeId(mPath.resolve("first")), is(first));
        assertThat(storeId(mPath.resolve("second")), is(not(first)));
    }

    /** Guards against files that pile up, and a start that reads all that was ever written. */
    @Test
    void snapshotsBoundWhatIsKeptAndRead() throws IOException {
        try (FileLogStore store = open(mPath)) {
            store.load().get();
            for (long sequence = 1; sequence <= 200; sequence++) {
                long index = 10 * sequence;
                StorageWrite write =
                        Workload.write(
                                sequence,
                                null,
                                sequence == 1 ? null : Workload.snapshot(index - 10, 1),
                                0,
                                Workload.entries(index - 9, index, 1),
                                Math.max(0, index - 10));
                store.write(List.of(write)).get();
            }
        }
        assertThat(DiskFolder.open(mPath).list().size(), lessThan(20));
        try (FileLogStore store = open(mPath)) {
            StoredState stored = store.load().get();
            assertThat(stored.snapshot().orElseThrow(), is(Workload.snapshot(1_990, 1)));
            assertThat(stored.entries().getLast(), is(Workload.entry(2_000, 1)));
            assertThat(stored.entries().size(), lessThan(40));
        }
    }

    /** Guards against a full disk that is taken for a broken one, which would end the process. */
    @Test
    void fullDiskIsRecognisedByTheSystemsMessage() {
        List<IOException> full =
                List.of(
                        new IOException("No space left on device"),
                        new IOException("Disk quota exceeded"));
        assertThat(
                full.stream()
                        .map(fault -> DiskFolder.classified("file", fault))
                        .filter(NoSpaceException.class::isInstance)
                        .toList(),
                hasSize(2));
        IOException broken = new IOException("Input/output error");
        assertThat(DiskFolder.classified("file", broken), is(broken));
    }

    private static String storeId(Path path) throws IOException {
        try (FileLogStore store = open(path)) {
            return store.load().get().storeId();
        }
    }
}
