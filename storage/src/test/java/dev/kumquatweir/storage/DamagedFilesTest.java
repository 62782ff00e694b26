package dev.kumquatweir.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Changes the bytes of stored files: acknowledged content is loaded whole or refused. */
class DamagedFilesTest {
    private static final long LAST = 18;

    private static Either<StorageFailure, StoredState> load(FaultyFolder folder) {
        return new FileLogStore(folder, Workload.SEGMENT_BYTES).load();
    }

    /** Makes a store with hard state, snapshot at 1 and entries 1 to 18 in several segments. */
    private static FaultyFolder stored() {
        FaultyFolder folder = new FaultyFolder(3);
        FileLogStore store = new FileLogStore(folder, Workload.SEGMENT_BYTES);
        store.load().get();
        HardState vote = new HardState(4, "candidate");
        store.write(
                        List.of(
                                Workload.write(1, vote, null, 0, Workload.entries(1, LAST, 1), 0),
                                Workload.write(2, null, Workload.snapshot(1, 1), 0, List.of(), 0)))
                .get();
        return folder;
    }

    private static List<String> segments(FaultyFolder folder) {
        return folder.list().stream().filter(Segment::isName).toList();
    }

    /** Returns the files that hold content; the recovery point may be torn without a fault. */
    private static List<String> storeFiles(FaultyFolder folder) {
        return folder.list().stream().filter(name -> !name.equals(RecoveryPoint.NAME)).toList();
    }

    private static int lastRecordStart(byte[] segment) {
        int size = LogRecord.sizeBytes(Workload.entry(LAST, 1));
        return segment.length - size;
    }

    /** Guards against a torn last record that is loaded, or that keeps the store from starting. */
    @Test
    void lastRecordCutAtAnyByteIsRemovedAndTheRestIsLoaded() throws Exception {
        FaultyFolder whole = stored();
        // Nothing says that the last record was synced.
        whole.delete(RecoveryPoint.NAME);
        String name = segments(whole).getLast();
        byte[] content = whole.content(name);
        int start = lastRecordStart(content);
        for (int size = start; size < content.length; size++) {
            FaultyFolder cut = whole.copy();
            cut.replace(name, Arrays.copyOf(content, size));
            assertThat(load(cut).get().entries(), is(Workload.entries(1, LAST - 1, 1)));
            assertThat(cut.content(name).length, is(start));
            // The size became durable before the content: zeros take the place of the rest.
            FaultyFolder zeros = whole.copy();
            zeros.replace(name, Arrays.copyOf(Arrays.copyOf(content, size), content.length));
            assertThat(load(zeros).get().entries(), is(Workload.entries(1, LAST - 1, 1)));
        }
        assertThat(load(whole).get().entries(), is(Workload.entries(1, LAST, 1)));
    }

    /**
     * Guards against a synced record that is lost and taken for one whose write was interrupted.
     */
    @Test
    void syncedRecordCutAtAnyByteIsRefused() {
        FaultyFolder whole = stored();
        String name = segments(whole).getLast();
        byte[] content = whole.content(name);
        for (int size = Segment.HEADER_BYTES; size < content.length; size++) {
            FaultyFolder cut = whole.copy();
            cut.replace(name, Arrays.copyOf(content, size));
            assertCorrupted(load(cut), name);
            FaultyFolder zeros = whole.copy();
            zeros.replace(name, Arrays.copyOf(Arrays.copyOf(content, size), content.length));
            assertCorrupted(load(zeros), name);
        }
    }

    /**
     * Guards against a start that ends since bytes of an unsynced group are missing in its middle.
     */
    @Test
    void unsyncedBytesMissingAnywhereAreRemovedAndTheRestIsLoaded() throws Exception {
        FaultyFolder whole = stored();
        whole.delete(RecoveryPoint.NAME);
        String name = segments(whole).getLast();
        byte[] content = whole.content(name);
        for (int from = Segment.HEADER_BYTES; from < content.length; from++) {
            for (int to = from + 1; to <= content.length; to++) {
                byte[] missing = content.clone();
                Arrays.fill(missing, from, to, (byte) 0);
                FaultyFolder torn = whole.copy();
                torn.replace(name, missing);
                List<LogEntry> loaded = load(torn).get().entries();
                assertThat(loaded, is(Workload.entries(1, loaded.size(), 1)));
                // Each record that ends before the missing bytes is still there.
                LogEntry next = Workload.entry(loaded.size() + 1, 1);
                int end = torn.content(name).length + LogRecord.sizeBytes(next);
                boolean nextWhole = loaded.size() < LAST && end <= from;
                assertThat(name + " " + from + " to " + to, nextWhole, is(false));
            }
        }
    }

    /** Guards against a record of a later build that is removed as the remains of a write. */
    @Test
    void wholeRecordOfUnknownKindIsRefused() throws Exception {
        FaultyFolder folder = stored();
        folder.delete(RecoveryPoint.NAME);
        String name = segments(folder).getLast();
        byte[] content = folder.content(name);
        int start = lastRecordStart(content);
        ByteBuffer changed = ByteBuffer.wrap(content).putInt(start + 20, 77);
        changed.putInt(start + 28, Checksum.of(changed, start, 28));
        folder.replace(name, content);
        assertCorrupted(load(folder), "unknown kind 77");
    }

    /**
     * Guards against a torn or missing recovery point that costs content or keeps a store closed.
     */
    @Test
    void recoveryPointMayBeTornOrMissing() throws Exception {
        FaultyFolder whole = stored();
        byte[] content = whole.content(RecoveryPoint.NAME);
        for (int size = 0; size < content.length; size++) {
            FaultyFolder cut = whole.copy();
            cut.replace(RecoveryPoint.NAME, Arrays.copyOf(content, size));
            assertThat(load(cut).get().entries(), is(Workload.entries(1, LAST, 1)));
        }
        for (int bit = 0; bit < 8 * content.length; bit++) {
            byte[] changed = content.clone();
            changed[bit / 8] ^= (byte) (1 << bit % 8);
            FaultyFolder torn = whole.copy();
            torn.replace(RecoveryPoint.NAME, changed);
            assertThat(load(torn).get().entries(), is(Workload.entries(1, LAST, 1)));
        }
        whole.delete(RecoveryPoint.NAME);
        assertThat(load(whole).get().entries(), is(Workload.entries(1, LAST, 1)));
    }

    /** Guards against any changed bit that goes unnoticed or drops acknowledged content. */
    @Test
    void anyFlippedBitIsRefused() {
        FaultyFolder whole = stored();
        for (String name : storeFiles(whole)) {
            byte[] content = whole.content(name);
            for (int bit = 0; bit < 8 * content.length; bit++) {
                byte[] changed = content.clone();
                changed[bit / 8] ^= (byte) (1 << bit % 8);
                FaultyFolder damaged = whole.copy();
                damaged.replace(name, changed);
                assertThat(
                        name + " bit " + bit,
                        load(damaged).fold(failure -> failure.code(), Object::toString),
                        is("storage_corrupted"));
            }
        }
    }

    /** Guards against acknowledged entries that damage of several bytes drops without a failure. */
    @ParameterizedTest
    @ValueSource(longs = {101, 102, 103, 104})
    void randomDamageIsNeverLoadedAsOtherContent(long seed) {
        Random random = new Random(seed);
        FaultyFolder whole = stored();
        List<LogEntry> entries = Workload.entries(1, LAST, 1);
        for (int round = 0; round < 500; round++) {
            FaultyFolder damaged = whole.copy();
            String name = segments(whole).get(random.nextInt(segments(whole).size()));
            byte[] content = whole.content(name);
            byte[] noise = new byte[1 + random.nextInt(40)];
            random.nextBytes(noise);
            int position = random.nextInt(content.length);
            int count = Math.min(noise.length, content.length - position);
            System.arraycopy(noise, 0, content, position, count);
            damaged.replace(name, content);
            Either<StorageFailure, StoredState> loaded = load(damaged);
            assertThat(
                    "seed " + seed + " round " + round,
                    loaded.isLeft() || loaded.get().entries().equals(entries),
                    is(true));
        }
    }

    /** Guards against a torn tail that hides damage to acknowledged records before it. */
    @Test
    void damageBeforeValidRecordIsRefusedAlsoWithTornTail() {
        FaultyFolder whole = stored();
        String name = segments(whole).getLast();
        byte[] content = whole.content(name);
        int start = lastRecordStart(content);
        assertThat(start, greaterThan(Segment.HEADER_BYTES));
        for (int position = Segment.HEADER_BYTES; position < start; position++) {
            byte[] changed = Arrays.copyOf(content, content.length + LogRecord.HEADER_BYTES);
            changed[position] ^= 1;
            FaultyFolder damaged = whole.copy();
            damaged.replace(name, changed);
            assertCorrupted(load(damaged), name);
        }
    }

    /** Guards against a file other than the newest segment that ends early. */
    @Test
    void cutOfAnyOtherFileIsRefused() {
        FaultyFolder whole = stored();
        String last = segments(whole).getLast();
        for (String name : storeFiles(whole).stream().filter(file -> !file.equals(last)).toList()) {
            byte[] content = whole.content(name);
            // A segment that ends between two records is refused by the index of the next one.
            for (int size = 0; size < content.length; size++) {
                FaultyFolder damaged = whole.copy();
                damaged.replace(name, Arrays.copyOf(content, size));
                assertCorrupted(load(damaged), "");
            }
        }
    }

    /** Guards against a log with a gap, or without what stands before it. */
    @Test
    void missingFilesAreRefused() throws Exception {
        FaultyFolder whole = stored();
        List<String> required =
                storeFiles(whole).stream()
                        .filter(name -> !name.equals(segments(whole).getLast()))
                        .filter(name -> !name.startsWith("snapshot"))
                        .toList();
        for (String name : required) {
            FaultyFolder damaged = whole.copy();
            damaged.delete(name);
            assertCorrupted(load(damaged), "");
        }
        FaultyFolder compacted = stored();
        FileLogStore store = new FileLogStore(compacted, Workload.SEGMENT_BYTES);
        store.load().get();
        StorageWrite compaction =
                Workload.write(1, null, Workload.snapshot(14, 1), 0, List.of(), 14);
        store.write(List.of(compaction)).get();
        compacted.delete(
                compacted.list().stream()
                        .filter(name -> name.startsWith("snapshot"))
                        .findFirst()
                        .orElseThrow());
        assertCorrupted(load(compacted), "begins at index");
    }

    /** Guards against an index that comes twice or is left out, and names the place. */
    @ParameterizedTest
    @ValueSource(longs = {LAST, LAST + 2, 1})
    void recordWithUnexpectedIndexIsRefused(long index) {
        FaultyFolder folder = stored();
        String name = segments(folder).getLast();
        byte[] content = folder.content(name);
        LogEntry entry = Workload.entry(index, 1);
        ByteBuffer longer = ByteBuffer.allocate(content.length + LogRecord.sizeBytes(entry));
        longer.put(content);
        LogRecord.write(entry, longer);
        folder.replace(name, longer.array());
        assertCorrupted(load(folder), name + " at byte " + content.length);
    }

    /** Guards against files of another folder that are taken for this one's. */
    @Test
    void filesOfAnotherStoreAreRefused() {
        FaultyFolder other = stored();
        for (String name : other.list()) {
            FaultyFolder mixed = stored();
            mixed.replace(name, other.content(name));
            assertCorrupted(load(mixed), "");
        }
    }

    private static void assertCorrupted(
            Either<StorageFailure, StoredState> loaded, String messagePart) {
        assertThat(loaded.getLeft(), instanceOf(StorageFailure.Corrupted.class));
        assertThat(loaded.getLeft().message(), containsString(messagePart));
    }
}
