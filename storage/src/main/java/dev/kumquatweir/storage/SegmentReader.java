package dev.kumquatweir.storage;

import dev.kumquatweir.agreement.port.LogEntry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Reads the records of one segment and tells a torn tail from damage. Used by one thread. */
final class SegmentReader {
    /**
     * Content of a segment.
     *
     * @param firstIndex index of the first entry, also when there is none yet
     * @param entries the entries
     * @param offsets where the record of each entry begins
     * @param endBytes where the last whole record ends
     */
    record Content(long firstIndex, List<LogEntry> entries, List<Long> offsets, long endBytes) {}

    private final String mName;
    private final ByteBuffer mBytes;
    private final boolean mLast;
    private final RecoveryPoint.Position mSynced;

    /**
     * Makes a reader.
     *
     * @param last whether it is the newest segment, the only one that may have a torn tail
     * @param synced how far the log is known to be synced
     */
    SegmentReader(String name, ByteBuffer bytes, boolean last, RecoveryPoint.Position synced) {
        mName = name;
        mBytes = bytes;
        mLast = last;
        mSynced = synced;
    }

    /** Reads all records; throws {@link DamageException} for anything but a torn tail. */
    Content read(StoreId expected) throws IOException {
        SealedFiles.Content header = SealedFiles.readStart(mName, mBytes);
        if (!header.storeId().equals(expected)) {
            throw new DamageException(mName, 16, "the file belongs to another store");
        }
        long firstIndex = header.body().getLong();
        int offset = Segment.HEADER_BYTES;
        List<LogEntry> entries = new ArrayList<>();
        List<Long> offsets = new ArrayList<>();
        while (offset < mBytes.limit()
                && LogRecord.read(mBytes, offset) instanceof LogRecord.Found.Whole whole) {
            requireIndex(whole.entry(), firstIndex + entries.size(), offset);
            entries.add(whole.entry());
            offsets.add((long) offset);
            offset = whole.endOffset();
        }
        requireTornTail(offset, mSynced.syncedBytes(firstIndex));
        return new Content(firstIndex, entries, offsets, offset);
    }

    private void requireIndex(LogEntry entry, long expected, int offset) throws DamageException {
        if (entry.index() != expected) {
            throw new DamageException(
                    mName,
                    offset,
                    "index " + entry.index() + " where " + expected + " was expected");
        }
    }

    /**
     * Accepts what interrupted writes leave after the last sync. They may become durable in any
     * order and in part, so whole records may follow one that is missing.
     */
    private void requireTornTail(int offset, long syncedBytes) throws DamageException {
        if (offset < syncedBytes) {
            String problem = offset < mBytes.limit() ? "damaged record" : "the file ends";
            throw new DamageException(
                    mName, offset, problem + ", but the segment was synced to byte " + syncedBytes);
        }
        if (offset == mBytes.limit()) {
            return;
        }
        if (!mLast) {
            throw new DamageException(mName, offset, "damaged record in an older segment");
        }
        if (LogRecord.read(mBytes, offset) instanceof LogRecord.Found.UnknownKind unknown) {
            throw new DamageException(
                    mName, offset, "whole record of unknown kind " + unknown.code());
        }
    }
}
