package dev.kumquatweir.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Files that are written once and whole: store id, hard state, snapshots and empty segments. A file
 * is written under a temporary name, synced and renamed, and the folder is synced, so that a crash
 * leaves the former file or the new one. A wrong checksum is damage, never an interrupted write.
 *
 * <p>Layout: magic (8 bytes), format version (4), body size (4), store id (16), body, CRC32C of all
 * before it (4).
 */
final class SealedFiles {
    /** Ends the name of a file that is not complete yet; such files are deleted at start. */
    static final String TEMPORARY = ".tmp";

    private static final long MAGIC = 0x4B575354_4F524531L;
    private static final int VERSION = 1;
    private static final int HEADER_BYTES = 16 + StoreId.SIZE_BYTES;
    private static final int CHECKSUM_BYTES = 4;

    /**
     * Content of a file.
     *
     * @param storeId folder that the file belongs to
     * @param body what the writer stored, ready to be read
     */
    record Content(StoreId storeId, ByteBuffer body) {}

    private final DataFolder mFolder;

    SealedFiles(DataFolder folder) {
        mFolder = folder;
    }

    /** Returns the size of a file with a body of a size. */
    static int sizeBytes(int bodyBytes) {
        return HEADER_BYTES + bodyBytes + CHECKSUM_BYTES;
    }

    /** Returns header, body and checksum, ready to be written. */
    static ByteBuffer sealed(StoreId storeId, byte[] body) {
        ByteBuffer content = ByteBuffer.allocate(sizeBytes(body.length));
        content.putLong(MAGIC).putInt(VERSION).putInt(body.length);
        storeId.write(content);
        content.put(body);
        return content.putInt(Checksum.of(content, 0, content.position())).flip();
    }

    /** Writes a file, durable on return. */
    void write(String name, StoreId storeId, byte[] body) throws IOException {
        ByteBuffer content = sealed(storeId, body);
        String temporary = name + TEMPORARY;
        try {
            try (DataFile file = mFolder.create(temporary)) {
                writeFully(file, content, 0);
                force(temporary, file);
            }
            mFolder.rename(temporary, name);
        } catch (NoSpaceException full) {
            mFolder.delete(temporary);
            throw full;
        }
        mFolder.sync();
    }

    /**
     * Syncs a file that is written anew after a failure. File systems that allocate late report a
     * full disk here, which need not end the store then.
     */
    static void force(String name, DataFile file) throws IOException {
        try {
            file.force();
        } catch (IOException fault) {
            throw DiskFolder.classified(name, fault);
        }
    }

    /** Reads a whole file. */
    Content read(String name) throws IOException {
        ByteBuffer content;
        try (DataFile file = mFolder.open(name)) {
            content = readFully(file);
        }
        int bodyBytes = parseHeader(name, content);
        if (content.limit() != sizeBytes(bodyBytes)) {
            throw new DamageException(name, content.limit(), "the file has another size");
        }
        return verified(name, content, bodyBytes);
    }

    /** Reads the sealed start of a file that goes on after it. */
    static Content readStart(String name, ByteBuffer content) throws IOException {
        int bodyBytes = parseHeader(name, content);
        if (bodyBytes > content.limit() - sizeBytes(0)) {
            throw new DamageException(name, content.limit(), "the file ends in its header");
        }
        return verified(name, content, bodyBytes);
    }

    /** Reads a file if the folder's list has it. */
    Optional<Content> readIfListed(String name) throws IOException {
        return mFolder.list().contains(name) ? Optional.of(read(name)) : Optional.empty();
    }

    /** Writes all of a buffer, over as many calls as it takes. */
    static void writeFully(DataFile file, ByteBuffer source, long position) throws IOException {
        long next = position;
        while (source.hasRemaining()) {
            next += file.write(source, next);
        }
    }

    /** Reads all of a file. */
    static ByteBuffer readFully(DataFile file) throws IOException {
        ByteBuffer content = ByteBuffer.allocate(Math.toIntExact(file.size()));
        file.read(content, 0);
        return content.flip();
    }

    private static int parseHeader(String name, ByteBuffer content) throws IOException {
        if (content.limit() < sizeBytes(0)) {
            throw new DamageException(name, content.limit(), "the file ends in its header");
        }
        if (content.getLong(0) != MAGIC) {
            throw new DamageException(name, 0, "not a file of this program");
        }
        if (content.getInt(8) != VERSION) {
            throw new DamageException(name, 8, "unknown format version " + content.getInt(8));
        }
        int bodyBytes = content.getInt(12);
        if (bodyBytes < 0 || bodyBytes > content.limit()) {
            throw new DamageException(name, 12, "the body's size is out of range");
        }
        return bodyBytes;
    }

    private static Content verified(String name, ByteBuffer content, int bodyBytes)
            throws IOException {
        int end = HEADER_BYTES + bodyBytes;
        if (content.getInt(end) != Checksum.of(content, 0, end)) {
            throw new DamageException(name, end, "wrong checksum");
        }
        StoreId storeId = StoreId.read(content.duplicate().position(16));
        ByteBuffer body = content.slice(HEADER_BYTES, bodyBytes);
        return new Content(storeId, body);
    }
}
