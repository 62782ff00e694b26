package dev.kumquatweir.storage;

import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.core.event.EventLog;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The log entries in a row of segment files. A segment is synced before the next one is made, so
 * only the newest can have a torn tail. Segments are removed one by one with a sync of the folder
 * after each, so that a crash never leaves a gap. Used by one thread.
 */
final class SegmentedLog {
    private static final EventLog LOG = EventLog.of(SegmentedLog.class);
    private static final int FIRST_BUFFER_BYTES = 64 * 1024;
    private static final int FLUSH_BYTES = 1024 * 1024;

    private final DataFolder mFolder;
    private final SealedFiles mSealed;
    private final RecoveryPoint mRecoveryPoint;
    private final StoreId mStoreId;
    private final long mSegmentBytes;
    private final Deque<Segment> mSegments = new ArrayDeque<>();
    private ByteBuffer mBuffer = ByteBuffer.allocate(FIRST_BUFFER_BYTES);
    private boolean mDirty;
    private long mKeptThrough;

    /**
     * Makes a log.
     *
     * @param segmentBytes size after which a new segment begins
     */
    SegmentedLog(DataFolder folder, StoreId storeId, long segmentBytes) {
        mFolder = folder;
        mSealed = new SealedFiles(folder);
        mRecoveryPoint = new RecoveryPoint(folder, storeId);
        mStoreId = storeId;
        mSegmentBytes = segmentBytes;
    }

    /**
     * Opens the segments, removes a torn tail and returns the entries, durable on return. Segments
     * that the snapshot covers are removed unread, down to the size of one segment: an earlier
     * build may have left more of them than the memory and the disk bear.
     *
     * @param snapshotIndex index of the stored snapshot, 0 if there is none
     */
    List<LogEntry> load(long snapshotIndex) throws IOException {
        List<String> names = removeCovered(snapshotIndex);
        RecoveryPoint.Position synced = mRecoveryPoint.read();
        List<LogEntry> entries = new ArrayList<>();
        for (int number = 0; number < names.size(); number++) {
            loadSegment(names.get(number), number == names.size() - 1, synced, entries);
        }
        if (!mSegments.isEmpty()) {
            // A process that was killed may have written entries without a sync.
            mSegments.getLast().file().force();
        }
        mRecoveryPoint.start(end());
        return entries;
    }

    boolean isEmpty() {
        return mSegments.isEmpty() || lastIndex() < mSegments.getFirst().firstIndex();
    }

    /** Returns the index of the last entry, 0 if no segment exists. */
    long lastIndex() {
        return mSegments.isEmpty() ? 0 : mSegments.getLast().lastIndex();
    }

    /** Notes the present end as the one that {@link #rollBack} returns to. */
    void beginGroup() {
        mKeptThrough = lastIndex();
    }

    /**
     * Appends an entry; durable after {@link #completeGroup}. The index must follow the last one.
     */
    void append(LogEntry entry) throws IOException {
        if (!mSegments.isEmpty() && entry.index() != lastIndex() + 1) {
            throw new IllegalArgumentException(
                    "entry " + entry.index() + " does not follow " + lastIndex());
        }
        if (mSegments.isEmpty() || mSegments.getLast().endBytes() >= mSegmentBytes) {
            sync();
            addSegment(entry.index());
        }
        int size = LogRecord.sizeBytes(entry);
        reserve(size);
        LogRecord.write(entry, mBuffer);
        mSegments.getLast().added(size);
        if (mBuffer.position() >= FLUSH_BYTES) {
            flush();
        }
    }

    /** Makes all entries durable and notes that they are. */
    void completeGroup() throws IOException {
        sync();
        mRecoveryPoint.advance(end());
    }

    /** Removes the entries from an index on, durable on return. */
    void truncateFrom(long index) throws IOException {
        // A segment that a crash left without entries is removed, too.
        if (!mSegments.isEmpty() && index <= lastIndex() + 1) {
            flush();
            // Other records may come to where the synced ones were.
            mRecoveryPoint.reset();
            removeFrom(index);
            mKeptThrough = Math.min(mKeptThrough, index - 1);
        }
    }

    /** Removes what was appended since {@link #beginGroup}, after a write found no space. */
    void rollBack() throws IOException {
        mBuffer.clear();
        removeFrom(mKeptThrough + 1);
        mDirty = false;
    }

    /**
     * Removes segments that the snapshot covers, to make room on a full disk. The newest one stays,
     * since the next entry has to follow it.
     */
    void removeCoveredSegments(long snapshotIndex) throws IOException {
        compactThrough(Math.min(snapshotIndex, lastIndex()) - 1);
    }

    /** Removes segments whose entries all have an index up to the given one. */
    void compactThrough(long index) throws IOException {
        while (!isEmpty() && mSegments.getFirst().lastIndex() <= index) {
            remove(mSegments.removeFirst());
        }
    }

    void close() throws IOException {
        for (Segment segment : mSegments) {
            segment.file().close();
        }
        mSegments.clear();
        mRecoveryPoint.close();
    }

    private void sync() throws IOException {
        flush();
        if (mDirty) {
            mSegments.getLast().file().force();
            mDirty = false;
        }
    }

    private RecoveryPoint.Position end() {
        return mSegments.isEmpty()
                ? RecoveryPoint.Position.NONE
                : new RecoveryPoint.Position(
                        mSegments.getLast().firstIndex(), mSegments.getLast().endBytes());
    }

    /**
     * Removes segments below the one that holds the entry at the snapshot's index, which tells
     * whether the log contradicts the snapshot. Returns the names of the others.
     */
    private List<String> removeCovered(long snapshotIndex) throws IOException {
        List<String> names = mFolder.list().stream().filter(Segment::isName).sorted().toList();
        int kept =
                (int)
                                names.stream()
                                        .filter(name -> Segment.firstIndex(name) <= snapshotIndex)
                                        .count()
                        - 1;
        long keptBytes = 0;
        while (kept > 0 && keptBytes + sizeBytes(names.get(kept - 1)) <= mSegmentBytes) {
            kept--;
            keptBytes += sizeBytes(names.get(kept));
        }
        if (kept <= 0) {
            return names;
        }
        LOG.info("log_covered_removed", "segments", kept, "snapshot_index", snapshotIndex);
        for (String name : names.subList(0, kept)) {
            mFolder.delete(name);
            mFolder.sync();
        }
        return names.subList(kept, names.size());
    }

    private long sizeBytes(String name) throws IOException {
        try (DataFile file = mFolder.open(name)) {
            return file.size();
        }
    }

    private void loadSegment(
            String name, boolean last, RecoveryPoint.Position synced, List<LogEntry> entries)
            throws IOException {
        DataFile file = mFolder.open(name);
        SegmentReader.Content content;
        try {
            ByteBuffer bytes = SealedFiles.readFully(file);
            content = new SegmentReader(name, bytes, last, synced).read(mStoreId);
            if (!name.equals(Segment.name(content.firstIndex()))) {
                throw new DamageException(name, 0, "begins at index " + content.firstIndex());
            }
            if (!mSegments.isEmpty() && content.firstIndex() != lastIndex() + 1) {
                throw new DamageException(name, 0, "does not follow index " + lastIndex());
            }
            if (content.endBytes() < file.size()) {
                long removed = file.size() - content.endBytes();
                LOG.warn(
                        "log_tail_removed",
                        "segment",
                        name,
                        "byte",
                        content.endBytes(),
                        "removed_bytes",
                        removed,
                        "synced_bytes",
                        synced.syncedBytes(content.firstIndex()));
                file.truncate(content.endBytes());
                file.force();
            }
        } catch (IOException fault) {
            file.close();
            throw fault;
        }
        entries.addAll(content.entries());
        mSegments.addLast(
                new Segment(file, content.firstIndex(), content.offsets(), content.endBytes()));
    }

    private void addSegment(long firstIndex) throws IOException {
        String name = Segment.name(firstIndex);
        byte[] body = ByteBuffer.allocate(Long.BYTES).putLong(firstIndex).array();
        mSealed.write(name, mStoreId, body);
        mSegments.addLast(
                new Segment(mFolder.open(name), firstIndex, List.of(), Segment.HEADER_BYTES));
    }

    private void reserve(int size) {
        if (mBuffer.remaining() < size) {
            int needed = Math.max(mBuffer.position() + size, 2 * mBuffer.capacity());
            mBuffer = ByteBuffer.allocate(needed).put(mBuffer.flip());
        }
    }

    private void flush() throws IOException {
        int size = mBuffer.position();
        if (size > 0) {
            Segment segment = mSegments.getLast();
            mDirty = true;
            SealedFiles.writeFully(segment.file(), mBuffer.flip(), segment.endBytes() - size);
            // A single large group must not keep its memory for good.
            mBuffer =
                    mBuffer.capacity() > 2 * FLUSH_BYTES
                            ? ByteBuffer.allocate(FIRST_BUFFER_BYTES)
                            : mBuffer.clear();
        }
    }

    private void removeFrom(long index) throws IOException {
        while (!mSegments.isEmpty() && mSegments.getLast().firstIndex() >= index) {
            remove(mSegments.removeLast());
        }
        if (!mSegments.isEmpty() && mSegments.getLast().lastIndex() >= index) {
            Segment segment = mSegments.getLast();
            // Synced before any new record takes the place of the old ones: otherwise a crash could
            // leave a mixture of both.
            segment.file().truncate(segment.cutFrom(index));
            segment.file().force();
        }
    }

    private void remove(Segment segment) throws IOException {
        segment.file().close();
        mFolder.delete(segment.name());
        mFolder.sync();
    }
}
