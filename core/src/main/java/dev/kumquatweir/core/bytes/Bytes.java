package dev.kumquatweir.core.bytes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** An immutable sequence of bytes with value equality. Thread-safe. */
public final class Bytes {
    /** The empty sequence. */
    public static final Bytes EMPTY = new Bytes(new byte[0]);

    private final byte[] mContent;

    private Bytes(byte[] content) {
        mContent = content;
    }

    /** Returns a copy of an array. */
    public static Bytes copyOf(byte[] content) {
        return new Bytes(content.clone());
    }

    /** Returns the parts one after the other, copied once. */
    public static Bytes concat(List<byte[]> parts) {
        int size = parts.stream().mapToInt(part -> part.length).sum();
        byte[] content = new byte[size];
        int offset = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, content, offset, part.length);
            offset += part.length;
        }
        return new Bytes(content);
    }

    /** Returns a read-only view of the content, which is not copied. */
    public ByteBuffer asReadOnlyBuffer() {
        return ByteBuffer.wrap(mContent).asReadOnlyBuffer();
    }

    /** Encodes a text as UTF-8. */
    public static Bytes ofText(String text) {
        return new Bytes(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the number of bytes. */
    public int size() {
        return mContent.length;
    }

    /**
     * Returns a copy of a range.
     *
     * @param offset index of the first byte
     * @param length number of bytes
     */
    public Bytes slice(int offset, int length) {
        return new Bytes(Arrays.copyOfRange(mContent, offset, offset + length));
    }

    /** Returns the content as a new array. */
    public byte[] toArray() {
        return mContent.clone();
    }

    /** Decodes the bytes as UTF-8. */
    public String toText() {
        return new String(mContent, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Bytes that && Arrays.equals(mContent, that.mContent);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(mContent);
    }

    @Override
    public String toString() {
        return mContent.length + " bytes";
    }
}
