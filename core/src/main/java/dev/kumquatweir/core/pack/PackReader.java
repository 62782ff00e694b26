package dev.kumquatweir.core.pack;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InvalidIdentifierException;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads MessagePack values from memory. Each length is compared with the bytes that are left before
 * anything is allocated, so malformed content can't ask for more memory than its own size. Used by
 * one thread.
 */
public final class PackReader {
    private final MessageUnpacker mUnpacker;
    private final long mSize;

    private PackReader(Bytes content) {
        mUnpacker = MessagePack.newDefaultUnpacker(content.toArray());
        mSize = content.size();
    }

    /** Decodes the whole content; left-over bytes are a fault. */
    public static <T> Either<MalformedContent, T> decode(Bytes content, Decoder<T> decoder) {
        PackReader reader = new PackReader(content);
        try {
            T value = decoder.decode(reader);
            if (reader.left() != 0) {
                throw new MalformedException("left-over bytes");
            }
            return Either.right(value);
        } catch (MalformedException
                | InvalidIdentifierException
                | MessagePackException
                | IOException fault) {
            return Either.left(
                    new MalformedContent(
                            reader.mUnpacker.getTotalReadBytes(),
                            String.valueOf(fault.getMessage())));
        }
    }

    /** Reads a whole number of 64 bits. */
    public long number() throws IOException {
        return mUnpacker.unpackLong();
    }

    /** Reads a whole number of 32 bits. */
    public int smallNumber() throws IOException {
        return mUnpacker.unpackInt();
    }

    /** Reads a truth value. */
    public boolean flag() throws IOException {
        return mUnpacker.unpackBoolean();
    }

    /** Reads a text. */
    public String text() throws IOException, MalformedException {
        int length = mUnpacker.unpackRawStringHeader();
        requireLeft(length);
        return Bytes.copyOf(mUnpacker.readPayload(length)).toText();
    }

    /** Reads a sequence of bytes. */
    public Bytes bytes() throws IOException, MalformedException {
        int length = mUnpacker.unpackBinaryHeader();
        requireLeft(length);
        return Bytes.copyOf(mUnpacker.readPayload(length));
    }

    /** Reads the header of an array with a known number of values. */
    public void array(int size) throws IOException, MalformedException {
        int found = mUnpacker.unpackArrayHeader();
        if (found != size) {
            throw new MalformedException("expected " + size + " values, found " + found);
        }
    }

    /** Reads the header of an array of any length. */
    public int arraySize() throws IOException, MalformedException {
        int size = mUnpacker.unpackArrayHeader();
        requireLeft(size);
        return size;
    }

    /** Reads an array whose items have one form. */
    public <T> List<T> list(Decoder<T> decoder) throws IOException, MalformedException {
        int size = arraySize();
        // Grows as items arrive: an item is larger in memory than its one-byte minimum on the wire.
        List<T> items = new ArrayList<>();
        for (int count = 0; count < size; count++) {
            items.add(decoder.decode(this));
        }
        return items;
    }

    private void requireLeft(int length) throws MalformedException {
        if (length < 0 || length > left()) {
            throw new MalformedException("length " + length + " exceeds the content");
        }
    }

    private long left() {
        return mSize - mUnpacker.getTotalReadBytes();
    }

    /** Decodes one value. */
    public interface Decoder<T> {
        /** Reads the value. */
        T decode(PackReader reader) throws IOException, MalformedException;
    }
}
