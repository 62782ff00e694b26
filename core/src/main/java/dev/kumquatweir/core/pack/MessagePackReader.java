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
 * Reads MessagePack values from memory. Each length field is checked against the remaining bytes
 * before anything is allocated, so malformed content can't cause an allocation larger than its own
 * size. Not thread-safe.
 */
public final class MessagePackReader {
    private final MessageUnpacker mUnpacker;
    private final long mSize;

    private MessagePackReader(Bytes content) {
        mUnpacker = MessagePack.newDefaultUnpacker(content.toArray());
        mSize = content.size();
    }

    /**
     * Decodes the whole content. Trailing bytes are an error, as is any value that does not decode.
     */
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

    /** Returns whether there are further values, such as fields that a later version appends. */
    public boolean hasMore() {
        return remainingBytes() > 0;
    }

    /** Reads an integer of up to 64 bits. */
    public long readLong() throws IOException {
        return mUnpacker.unpackLong();
    }

    /** Reads an integer of up to 32 bits. */
    public int readInt() throws IOException {
        return mUnpacker.unpackInt();
    }

    /** Reads a boolean. */
    public boolean readBoolean() throws IOException {
        return mUnpacker.unpackBoolean();
    }

    /** Reads a UTF-8 string. */
    public String readString() throws IOException, MalformedContentException {
        int length = mUnpacker.unpackRawStringHeader();
        requireRemaining(length);
        return Bytes.copyOf(mUnpacker.readPayload(length)).toText();
    }

    /** Reads binary data. */
    public Bytes readBytes() throws IOException, MalformedContentException {
        int length = mUnpacker.unpackBinaryHeader();
        requireRemaining(length);
        return Bytes.copyOf(mUnpacker.readPayload(length));
    }

    /** Reads an array header and checks that the array has this size. */
    public void expectArrayHeader(int size) throws IOException, MalformedContentException {
        int actual = mUnpacker.unpackArrayHeader();
        if (actual != size) {
            throw new MalformedContentException("expected " + size + " values, found " + actual);
        }
    }

    /** Reads an array header and returns the size of the array. */
    public int readArrayHeader() throws IOException, MalformedContentException {
        int size = mUnpacker.unpackArrayHeader();
        requireRemaining(size);
        return size;
    }

    /** Reads an array whose items are all of one type. */
    public <T> List<T> readList(Decoder<T> decoder) throws IOException, MalformedContentException {
        int size = readArrayHeader();
        // Not presized: an item may take one byte on the wire but is larger in memory.
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

    /** Decodes one value from a reader. */
    public interface Decoder<T> {
        /** Reads and returns the value. */
        T decode(MessagePackReader reader) throws IOException, MalformedContentException;
    }
}
