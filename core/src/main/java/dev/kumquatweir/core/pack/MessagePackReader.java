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
public final class MessagePackReader {
    private final MessageUnpacker mUnpacker;
    private final long mSize;

    private MessagePackReader(Bytes content) {
        mUnpacker = MessagePack.newDefaultUnpacker(content.toArray());
        mSize = content.size();
    }

    /** Decodes the whole content; left-over bytes are a fault. */
    public static <T> Either<MalformedContent, T> decode(Bytes content, Decoder<T> decoder) {
        MessagePackReader reader = new MessagePackReader(content);
        try {
            T value = decoder.decode(reader);
            if (reader.remainingBytes() != 0) {
                throw new MalformedContentException("left-over bytes");
            }
            return Either.right(value);
        } catch (MalformedContentException
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
    public long readLong() throws IOException {
        return mUnpacker.unpackLong();
    }

    /** Reads a whole number of 32 bits. */
    public int readInt() throws IOException {
        return mUnpacker.unpackInt();
    }

    /** Reads a truth value. */
    public boolean readBoolean() throws IOException {
        return mUnpacker.unpackBoolean();
    }

    /** Reads a text. */
    public String readString() throws IOException, MalformedContentException {
        int length = mUnpacker.unpackRawStringHeader();
        requireRemaining(length);
        return Bytes.copyOf(mUnpacker.readPayload(length)).toText();
    }

    /** Reads a sequence of bytes. */
    public Bytes readBytes() throws IOException, MalformedContentException {
        int length = mUnpacker.unpackBinaryHeader();
        requireRemaining(length);
        return Bytes.copyOf(mUnpacker.readPayload(length));
    }

    /** Reads the header of an array with a known number of values. */
    public void expectArrayHeader(int size) throws IOException, MalformedContentException {
        int actual = mUnpacker.unpackArrayHeader();
        if (actual != size) {
            throw new MalformedContentException("expected " + size + " values, found " + actual);
        }
    }

    /** Reads the header of an array of any length. */
    public int readArrayHeader() throws IOException, MalformedContentException {
        int size = mUnpacker.unpackArrayHeader();
        requireRemaining(size);
        return size;
    }

    /** Reads an array whose items have one form. */
    public <T> List<T> readList(Decoder<T> decoder) throws IOException, MalformedContentException {
        int size = readArrayHeader();
        // Grows as items arrive: an item is larger in memory than its one-byte minimum on the wire.
        List<T> items = new ArrayList<>();
        for (int count = 0; count < size; count++) {
            items.add(decoder.decode(this));
        }
        return items;
    }

    private void requireRemaining(int length) throws MalformedContentException {
        if (length < 0 || length > remainingBytes()) {
            throw new MalformedContentException("length " + length + " exceeds the content");
        }
    }

    private long remainingBytes() {
        return mSize - mUnpacker.getTotalReadBytes();
    }

    /** Decodes one value. */
    public interface Decoder<T> {
        /** Reads the value. */
        T decode(MessagePackReader reader) throws IOException, MalformedContentException;
    }
}
