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

    /**
     * Makes a reader.
     *
     * @param last whether it is the newest segment, the only one that may have a torn tail
     */
    SegmentReader(String name, ByteBuffer bytes, boolean last) {
        mName = name;
        mBytes = bytes;
        mLast = last;
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
        while (offset < mBytes.limit()) {
            LogEntry entry = LogRecord.read(mBytes, offset);
            if (entry == null) {
                requireTornTail(offset);
                break;
            }
            if (entry.index() != firstIndex + entries.size()) {
                throw new DamageException(
                        mName,
                        offset,
                        "index "
                                + entry.index()
                                + " where "
                                + (firstIndex + entries.size())
                                + " was expected");
            }
            entries.add(entry);
            offsets.add((long) offset);
            offset = (int) LogRecord.end(mBytes, offset);
        }
        return new Content(firstIndex, entries, offsets, offset);
    }

    /**
     * Accepts what an interrupted append leaves: a record that the end of the file cuts, or a file
     * that ends in zeros because its size became durable before its content. A whole record with a
     * wrong checksum was complete once and may have been acknowledged, so it is damage.
     */
    private void requireTornTail(int offset) throws IOException {
        if (!mLast) {
            throw new DamageException(mName, offset, "damaged record in an older segment");
        }
        boolean headerCut = mBytes.limit() - offset < LogRecord.HEADER_BYTES;
        boolean recordCut =
                LogRecord.headerValid(mBytes, offset)
                        && LogRecord.end(mBytes, offset) > mBytes.limit();
        boolean endsInZeros = mBytes.get(mBytes.limit() - 1) == 0;
        if (!headerCut && !recordCut && !endsInZeros) {
            throw new DamageException(mName, offset, "damaged record");
        }
        for (int next = offset + 1; next <= mBytes.limit() - LogRecord.HEADER_BYTES; next++) {
            if (LogRecord.read(mBytes, next) != null) {
                throw new DamageException(
                        mName, offset, "damaged record before a valid one at byte " + next);
            }
        }
    }
}
