package dev.kumquatweir.core.pack;

import dev.kumquatweir.core.bytes.Bytes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.function.BiConsumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes MessagePack values into memory. Used by one thread. */
public final class PackWriter {
    private final MessageBufferPacker mPacker = MessagePack.newDefaultBufferPacker();

    /** Writes a whole number. */
    public PackWriter number(long value) {
        return step(() -> mPacker.packLong(value));
    }

    /** Writes a truth value. */
    public PackWriter flag(boolean value) {
        return step(() -> mPacker.packBoolean(value));
    }

    /** Writes a text. */
    public PackWriter text(String value) {
        return step(() -> mPacker.packString(value));
    }

    /** Writes a sequence of bytes. */
    public PackWriter bytes(Bytes value) {
        byte[] content = value.toArray();
        return step(
                () -> {
                    mPacker.packBinaryHeader(content.length);
                    mPacker.writePayload(content);
                });
    }

    /** Writes the header of an array. */
    public PackWriter array(int size) {
        return step(() -> mPacker.packArrayHeader(size));
    }

    /** Writes an array whose items have one form. */
    public <T> PackWriter list(Collection<T> items, BiConsumer<PackWriter, T> itemWriter) {
        array(items.size());
        items.forEach(item -> itemWriter.accept(this, item));
        return this;
    }

    /** Returns all that was written. */
    public Bytes finish() {
        return Bytes.copyOf(mPacker.toByteArray());
    }

    private PackWriter step(Step step) {
        try {
            step.run();
            return this;
        } catch (IOException impossible) {
            // A buffer in memory has no I/O.
            throw new UncheckedIOException(impossible);
        }
    }

    private interface Step {
        void run() throws IOException;
    }
}
