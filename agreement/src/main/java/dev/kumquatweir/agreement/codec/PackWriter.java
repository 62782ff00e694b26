package dev.kumquatweir.agreement.codec;

import dev.kumquatweir.core.bytes.Bytes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.function.BiConsumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes MessagePack values into memory. Used by one thread. */
final class PackWriter {
    private final MessageBufferPacker mPacker = MessagePack.newDefaultBufferPacker();

    PackWriter number(long value) {
        return step(() -> mPacker.packLong(value));
    }

    PackWriter flag(boolean value) {
        return step(() -> mPacker.packBoolean(value));
    }

    PackWriter text(String value) {
        return step(() -> mPacker.packString(value));
    }

    PackWriter bytes(Bytes value) {
        byte[] content = value.toArray();
        return step(
                () -> {
                    mPacker.packBinaryHeader(content.length);
                    mPacker.writePayload(content);
                });
    }

    PackWriter array(int size) {
        return step(() -> mPacker.packArrayHeader(size));
    }

    <T> PackWriter list(Collection<T> items, BiConsumer<PackWriter, T> itemWriter) {
        array(items.size());
        items.forEach(item -> itemWriter.accept(this, item));
        return this;
    }

    Bytes finish() {
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
