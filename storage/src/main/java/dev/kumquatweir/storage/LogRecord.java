package dev.kumquatweir.storage;

import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.core.bytes.Bytes;
import java.nio.ByteBuffer;

/**
 * Layout of one log entry in a segment. Thread-safe: holds no state.
 *
 * <p>Payload size (4 bytes), index (8), term (8), kind (4), CRC32C of the payload (4), CRC32C of
 * the fields before it (4), payload, end mark (4). The header has its own checksum so that a
 * changed size is recognised as damage instead of a record that goes beyond the end of the file.
 * The end mark is not zero, so that a file that ends in zeros was not written completely.
 */
final class LogRecord {
    static final int HEADER_BYTES = 32;
    static final int END_BYTES = 4;

    private static final int CHECKED_BYTES = 28;
    private static final int END_MARK = 0x4B575245;

    /** What begins at an offset of a segment. */
    sealed interface Found {
        /**
         * A record with right checksums.
         *
         * @param entry its content
         * @param endOffset where the next record begins
         */
        record Whole(LogEntry entry, int endOffset) implements Found {}

        /**
         * A record with right checksums that a later build wrote.
         *
         * @param code number of its kind
         */
        record UnknownKind(int code) implements Found {}

        /** A record of which a part is missing or wrong. */
        record Incomplete() implements Found {}
    }

    private LogRecord() {}

    static int sizeBytes(LogEntry entry) {
        return HEADER_BYTES + entry.payload().size() + END_BYTES;
    }

    static void write(LogEntry entry, ByteBuffer target) {
        int start = target.position();
        byte[] payload = entry.payload().toArray();
        target.putInt(payload.length).putLong(entry.index()).putLong(entry.term());
        target.putInt(entry.kind().code());
        target.putInt(Checksum.of(ByteBuffer.wrap(payload), 0, payload.length));
        target.putInt(Checksum.of(target, start, CHECKED_BYTES));
        target.put(payload).putInt(END_MARK);
    }

    /** Returns whether a whole header with a right checksum begins here. */
    private static boolean headerValid(ByteBuffer content, int offset) {
        return content.limit() - offset >= HEADER_BYTES
                && content.getInt(offset) >= 0
                && content.getInt(offset + CHECKED_BYTES)
                        == Checksum.of(content, offset, CHECKED_BYTES);
    }

    /** Returns the offset after a record with a valid header, which may be beyond the file. */
    private static long end(ByteBuffer content, int offset) {
        return (long) offset + HEADER_BYTES + content.getInt(offset) + END_BYTES;
    }

    /** Reads what begins at an offset. */
    static Found read(ByteBuffer content, int offset) {
        if (!headerValid(content, offset) || end(content, offset) > content.limit()) {
            return new Found.Incomplete();
        }
        int size = content.getInt(offset);
        int payloadStart = offset + HEADER_BYTES;
        boolean whole =
                content.getInt(offset + 24) == Checksum.of(content, payloadStart, size)
                        && content.getInt(payloadStart + size) == END_MARK;
        if (!whole) {
            return new Found.Incomplete();
        }
        int code = content.getInt(offset + 20);
        EntryKind kind = EntryKind.ofCode(code);
        if (kind == null) {
            return new Found.UnknownKind(code);
        }
        byte[] payload = new byte[size];
        content.get(payloadStart, payload);
        LogEntry entry =
                new LogEntry(
                        content.getLong(offset + 4),
                        content.getLong(offset + 12),
                        Bytes.copyOf(payload),
                        kind);
        return new Found.Whole(entry, payloadStart + size + END_BYTES);
    }
}
