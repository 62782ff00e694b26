package dev.kumquatweir.storage;

import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * Random identity of a data folder; each file in it carries it, so that files of two folders can't
 * be mixed.
 *
 * @param high first half
 * @param low second half
 */
record StoreId(long high, long low) {
    static final int SIZE_BYTES = 16;

    static StoreId random() {
        SecureRandom random = new SecureRandom();
        return new StoreId(random.nextLong(), random.nextLong());
    }

    static StoreId read(ByteBuffer source) {
        return new StoreId(source.getLong(), source.getLong());
    }

    void write(ByteBuffer target) {
        target.putLong(high).putLong(low);
    }

    /** Returns 32 hexadecimal digits. */
    String text() {
        HexFormat format = HexFormat.of();
        return format.toHexDigits(high) + format.toHexDigits(low);
    }
}
