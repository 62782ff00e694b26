package dev.kumquatweir.core.pack;

import dev.kumquatweir.core.bytes.Bytes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.function.BiConsumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes MessagePack values into memory. Used by one thread. */
public final class MessagePackWriter {
    private final MessageBufferPacker mPacker = MessagePack.newDefaultBufferPacker();

    /** Writes a whole number. */
    public MessagePackWriter writeLong(long value) {
        return pack(() -> mPacker.packLong(value));
    }

    /** Writes a truth value. */
    public MessagePackWriter writeBoolean(boolean value) {
        return pack(() -> mPacker.packBoolean(value));
    }

    /** Writes a text. */
    public MessagePackWriter writeString(String value) {
        return pack(() -> mPacker.packString(value));
    }

    /** Writes a sequence of bytes. */
    public MessagePackWriter writeBytes(Bytes value) {
        byte[] content = value.toArray();
        return pack(
                () -> {
                    mPacker.packBinaryHeader(content.length);
                    mPacker.writePayload(content);
                });
    }

    /** Writes the header of an array. */
    public MessagePackWriter writeArrayHeader(int size) {
        return pack(() -> mPacker.packArrayHeader(size));
    }

    /** Writes an array whose items have one form. */
    public <T> MessagePackWriter writeList(
            Collection<T> items, BiConsumer<MessagePackWriter, T> itemWriter) {
        writeArrayHeader(items.size());
        items.forEach(item -> itemWriter.accept(this, item));
        return this;
    }

    /** Returns all that was written. */
    public Bytes toBytes() {
        return Bytes.copyOf(mPacker.toByteArray());
    }

    private MessagePackWriter pack(PackOperation operation) {
        try {
            operation.run();
            return this;
        } catch (IOException impossible) {
            // A buffer in memory has no I/O.
            throw new UncheckedIOException(impossible);
        }
    }

    private interface PackOperation {
        void run() throws IOException;
    }
}
