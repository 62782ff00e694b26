package dev.kumquatweir.core.pack;

import dev.kumquatweir.core.bytes.Bytes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.function.BiConsumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes MessagePack values into a memory buffer. Not thread-safe. */
public final class MessagePackWriter {
    private final MessageBufferPacker mPacker = MessagePack.newDefaultBufferPacker();

    /** Writes an integer of up to 64 bits. */
    public MessagePackWriter writeLong(long value) {
        return pack(() -> mPacker.packLong(value));
    }

    /** Writes a boolean. */
    public MessagePackWriter writeBoolean(boolean value) {
        return pack(() -> mPacker.packBoolean(value));
    }

    /** Writes a string in UTF-8. */
    public MessagePackWriter writeString(String value) {
        return pack(() -> mPacker.packString(value));
    }

    /** Writes binary data. */
    public MessagePackWriter writeBytes(Bytes value) {
        byte[] content = value.toArray();
        return pack(
                () -> {
                    mPacker.packBinaryHeader(content.length);
                    mPacker.writePayload(content);
                });
    }

    /** Writes an array header; the caller writes the items. */
    public MessagePackWriter writeArrayHeader(int size) {
        return pack(() -> mPacker.packArrayHeader(size));
    }

    /** Writes an array whose items are all of one type. */
    public <T> MessagePackWriter writeList(
            Collection<T> items, BiConsumer<MessagePackWriter, T> itemWriter) {
        writeArrayHeader(items.size());
        items.forEach(item -> itemWriter.accept(this, item));
        return this;
    }

    /** Returns everything written so far. */
    public Bytes toBytes() {
        return Bytes.copyOf(mPacker.toByteArray());
    }

    private MessagePackWriter pack(PackOperation operation) {
        try {
            operation.run();
            return this;
        } catch (IOException impossible) {
            // The memory buffer does no I/O.
            throw new UncheckedIOException(impossible);
        }
    }

    private interface PackOperation {
        void run() throws IOException;
    }
}
