package dev.kumquatweir.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** CRC32C of a part of a buffer. Thread-safe: holds no state. */
final class Checksum {
    private Checksum() {}

    static int of(ByteBuffer content, int offset, int size) {
        CRC32C checksum = new CRC32C();
        checksum.update(content.duplicate().limit(offset + size).position(offset));
        return (int) checksum.getValue();
    }
}
