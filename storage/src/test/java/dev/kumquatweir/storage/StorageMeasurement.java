package dev.kumquatweir.storage;

import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.core.bytes.Bytes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Prints figures and checks no bounds. Its name keeps it out of the normal run; start it with
 * {@code ./build -pl storage -am test -Dtest=StorageMeasurement
 * -Dsurefire.failIfNoSpecifiedTests=false}.
 */
class StorageMeasurement {
    private static final int PAYLOAD_BYTES = 200;
    private static final long MEASURED_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Path mPath;
    private final Map<Long, CountDownLatch> mWaiting = new ConcurrentHashMap<>();
    private final Object mOrder = new Object();
    private long mSequence;

    StorageMeasurement(@TempDir Path path) {
        mPath = path;
    }

    private static LogEntry entry(long index) {
        return new LogEntry(index, 1, Bytes.copyOf(new byte[PAYLOAD_BYTES]), EntryKind.COMMAND);
    }

    private static void print(String name, long[] nanos, double seconds) {
        Arrays.sort(nanos);
        System.out.printf(
                "FIGURE %s per_second=%.0f p50_us=%.0f p99_us=%.0f%n",
                name,
                nanos.length / seconds,
                nanos[nanos.length / 2] / 1e3,
                nanos[nanos.length * 99 / 100] / 1e3);
    }

    /** The bound for commits of one writer: append a record's bytes and sync, nothing else. */
    private void rawSyncs(String name) throws IOException {
        ByteBuffer record = ByteBuffer.allocate(LogRecord.sizeBytes(entry(1)));
        List<Long> nanos = new ArrayList<>();
        long start = System.nanoTime();
        try (FileChannel channel =
                FileChannel.open(
                        mPath.resolve("raw-" + name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE)) {
            while (System.nanoTime() - start < MEASURED_NANOS) {
                long before = System.nanoTime();
                channel.write(record.clear(), channel.size());
                channel.force(false);
                nanos.add(System.nanoTime() - before);
            }
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        print("raw_sync " + name, nanos.stream().mapToLong(Long::longValue).toArray(), seconds);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 8, 64})
    void commits(int writers) throws IOException, InterruptedException {
        rawSyncs("before_" + writers + "_writers");
        FileLogStore store = new FileLogStore(DiskFolder.open(mPath.resolve("store")));
        store.load().get();
        try (StorageDuty duty = new StorageDuty(store, 1_024, new Completions())) {
            duty.start();
            List<List<Long>> latencies = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            long start = System.nanoTime();
            for (int writer = 0; writer < writers; writer++) {
                List<Long> own = new ArrayList<>();
                latencies.add(own);
                threads.add(Thread.ofPlatform().start(() -> write(duty, start, own)));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            double seconds = (System.nanoTime() - start) / 1e9;
            long[] nanos =
                    latencies.stream().flatMap(List::stream).mapToLong(Long::longValue).toArray();
            print("commits writers=" + writers, nanos, seconds);
        }
        rawSyncs("after_" + writers + "_writers");
    }

    private void write(StorageDuty duty, long start, List<Long> latencies) {
        while (System.nanoTime() - start < MEASURED_NANOS) {
            long before = System.nanoTime();
            CountDownLatch done = new CountDownLatch(1);
            synchronized (mOrder) {
                mSequence++;
                mWaiting.put(mSequence, done);
                if (!duty.submit(Workload.append(mSequence, List.of(entry(mSequence))))) {
                    throw new AssertionError("refused");
                }
            }
            try {
                done.await();
            } catch (InterruptedException exception) {
                throw new AssertionError(exception);
            }
            latencies.add(System.nanoTime() - before);
        }
    }

    /** Releases the writers up to the completed batch. */
    private final class Completions implements StorageListener {
        private long mDone;

        @Override
        public void completed(StorageCompletion completion) {
            while (mDone < completion.sequence()) {
                mDone++;
                CountDownLatch waiting = mWaiting.remove(mDone);
                if (waiting != null) {
                    waiting.countDown();
                }
            }
        }

        @Override
        public void diskFull(StorageFailure.DiskFull failure) {
            throw new AssertionError(failure);
        }

        @Override
        public void spaceReturned() {}

        @Override
        public void failed(StorageFailure failure) {
            System.out.println(failure);
        }
    }

    /** Loads a store after changes; without a snapshot, and with one each 1,000 changes. */
    @ParameterizedTest
    @ValueSource(ints = {100, 1_000, 10_000, 100_000})
    void restart(int changes) throws IOException {
        for (boolean snapshots : new boolean[] {false, true}) {
            Path path = mPath.resolve("restart-" + snapshots);
            try (FileLogStore store = new FileLogStore(DiskFolder.open(path))) {
                store.load().get();
                fill(store, changes, snapshots);
            }
            long[] nanos = new long[5];
            int entries = 0;
            for (int round = 0; round < nanos.length; round++) {
                long start = System.nanoTime();
                try (FileLogStore store = new FileLogStore(DiskFolder.open(path))) {
                    entries = store.load().get().entries().size();
                    nanos[round] = System.nanoTime() - start;
                }
            }
            Arrays.sort(nanos);
            System.out.printf(
                    "FIGURE restart changes=%d snapshots=%s entries_loaded=%d median_ms=%.2f"
                            + " worst_ms=%.2f%n",
                    changes, snapshots, entries, nanos[2] / 1e6, nanos[4] / 1e6);
        }
    }

    private static void fill(FileLogStore store, int changes, boolean snapshots) {
        long sequence = 0;
        for (int first = 1; first <= changes; first += 100) {
            List<LogEntry> entries = new ArrayList<>();
            for (int index = first; index < first + 100; index++) {
                entries.add(entry(index));
            }
            sequence++;
            long last = first + 99L;
            boolean due = snapshots && last % 1_000 == 0;
            store.write(
                            List.of(
                                    Workload.write(
                                            sequence,
                                            null,
                                            due ? Workload.snapshot(last - 100, 1) : null,
                                            0,
                                            entries,
                                            due ? last - 100 : 0)))
                    .get();
        }
    }
}
