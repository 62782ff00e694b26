package dev.kumquatweir.storage;

import dev.kumquatweir.core.event.EventLog;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Comparator;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The file that says how far the newest segment was synced. It tells damage to synced records from
 * what an interrupted write leaves, which may be any part of the records after the last sync. Used
 * by one thread.
 *
 * <p>The file has two slots. {@link #start} and {@link #reset} write and sync both; {@link
 * #advance} overwrites the second without a sync, so that a commit needs only that of the log.
 * After a loss of power a slot may be old or torn, but what a whole slot says was synced.
 */
final class RecoveryPoint {
    /**
     * Builds without recovery points delete temporary files at their start. The suffix makes them
     * delete this one too, so that it does not outlast a truncation of theirs.
     */
    static final String NAME = "recovery-point" + SealedFiles.TEMPORARY;

    private static final EventLog LOG = EventLog.of(RecoveryPoint.class);
    private static final int BODY_BYTES = 2 * Long.BYTES;
    // The slots are in different sectors, so that a torn write can't reach both.
    private static final int SLOT_BYTES = 4096;
    private static final int SLOTS = 2;

    /**
     * A place in the log.
     *
     * @param firstIndex index that the newest segment begins with, 0 if there is none
     * @param endBytes all bytes of this segment before this offset are synced
     */
    record Position(long firstIndex, long endBytes) {
        /** Nothing is known to be synced. */
        static final Position NONE = new Position(0, 0);

        private static final Comparator<Position> ORDER =
                Comparator.comparingLong(Position::firstIndex)
                        .thenComparingLong(Position::endBytes);

        /** Returns up to where a segment is known to be synced, 0 if nothing is known of it. */
        long syncedBytes(long segmentFirstIndex) {
            return segmentFirstIndex == firstIndex ? endBytes : 0;
        }
    }

    private final DataFolder mFolder;
    private final StoreId mStoreId;
    private Position mWritten = Position.NONE;
    private @Nullable DataFile mFile;

    RecoveryPoint(DataFolder folder, StoreId storeId) {
        mFolder = folder;
        mStoreId = storeId;
    }

    /** Returns the furthest position that a whole slot holds. */
    Position read() throws IOException {
        if (!mFolder.list().contains(NAME)) {
            return Position.NONE;
        }
        ByteBuffer content;
        try (DataFile file = mFolder.open(NAME)) {
            content = SealedFiles.readFully(file);
        }
        Position furthest = Position.NONE;
        for (int start = 0; start < SLOTS * SLOT_BYTES; start += SLOT_BYTES) {
            Position position = readSlot(content, start).orElse(Position.NONE);
            furthest = Position.ORDER.compare(position, furthest) > 0 ? position : furthest;
        }
        return furthest;
    }

    /**
     * Sets the position at the start of a store, durable on return. A full disk leaves the former
     * position, which still holds.
     */
    void start(Position position) throws IOException {
        try {
            writeBoth(position);
        } catch (NoSpaceException full) {
            LOG.warn("recovery_point_not_written", "location", full.location());
        }
    }

    /** Forgets what was synced, before records are removed; durable on return. */
    void reset() throws IOException {
        writeBoth(Position.NONE);
    }

    /**
     * Moves the position forward, without a sync. A full disk leaves the former position, which
     * still holds.
     */
    void advance(Position position) throws IOException {
        if (position.equals(mWritten)) {
            return;
        }
        try {
            writeSlot(opened(), position, SLOT_BYTES);
            mWritten = position;
        } catch (NoSpaceException full) {
            LOG.warn("recovery_point_not_written", "location", full.location());
        }
    }

    void close() throws IOException {
        DataFile file = mFile;
        if (file != null) {
            mFile = null;
            file.close();
        }
    }

    private Optional<Position> readSlot(ByteBuffer content, int start) throws IOException {
        int slotBytes = SealedFiles.sizeBytes(BODY_BYTES);
        if (content.limit() < start + slotBytes) {
            return Optional.empty();
        }
        SealedFiles.Content slot;
        try {
            slot = SealedFiles.readStart(NAME, content.slice(start, slotBytes));
        } catch (DamageException torn) {
            LOG.info("recovery_point_torn", "byte", start, "cause", torn.getMessage());
            return Optional.empty();
        }
        if (!slot.storeId().equals(mStoreId)) {
            throw new DamageException(NAME, start, "the file belongs to another store");
        }
        return Optional.of(new Position(slot.body().getLong(), slot.body().getLong()));
    }

    private void writeBoth(Position position) throws IOException {
        DataFile file = opened();
        for (int start = 0; start < SLOTS * SLOT_BYTES; start += SLOT_BYTES) {
            writeSlot(file, position, start);
        }
        SealedFiles.force(NAME, file);
        mWritten = position;
    }

    private void writeSlot(DataFile file, Position position, long start) throws IOException {
        ByteBuffer body = ByteBuffer.allocate(BODY_BYTES);
        body.putLong(position.firstIndex()).putLong(position.endBytes());
        SealedFiles.writeFully(file, SealedFiles.sealed(mStoreId, body.array()), start);
    }

    private DataFile opened() throws IOException {
        DataFile file = mFile;
        if (file == null) {
            boolean exists = mFolder.list().contains(NAME);
            file = exists ? mFolder.open(NAME) : mFolder.create(NAME);
            mFile = file;
        }
        return file;
    }
}
