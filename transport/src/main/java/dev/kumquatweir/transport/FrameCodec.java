package dev.kumquatweir.transport;

import dev.kumquatweir.core.bytes.Bytes;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Translates frames to and from bytes. Not thread-safe: an encoder reuses its buffer. */
final class FrameCodec {
    private static final int FIELD_COUNT = 6;

    private final MessageBufferPacker mPacker =
            new MessagePack.PackerConfig().withBufferSize(64).newBufferPacker();

    /**
     * Encodes everything before the payload's bytes: length, array and binary header.
     *
     * @return the header, ready to be read; the payload follows it unchanged
     */
    ByteBuffer encodeHeader(
            long epoch, FrameKind kind, long correlation, int type, int payloadBytes) {
        try {
            mPacker.clear();
            mPacker.packArrayHeader(FIELD_COUNT);
            mPacker.packInt(Frame.VERSION);
            mPacker.packLong(epoch);
            mPacker.packInt(kind.code());
            mPacker.packLong(correlation);
            mPacker.packInt(type);
            mPacker.packBinaryHeader(payloadBytes);
            byte[] fields = mPacker.toByteArray();
            return ByteBuffer.allocate(Frame.LENGTH_BYTES + fields.length)
                    .putInt(fields.length + payloadBytes)
                    .put(fields)
                    .flip();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    /** Encodes a whole frame with its length. */
    byte[] encode(Frame frame) {
        byte[] payload = frame.payload().toArray();
        ByteBuffer header =
                encodeHeader(
                        frame.epoch(),
                        frame.kind(),
                        frame.correlation(),
                        frame.type(),
                        payload.length);
        return ByteBuffer.allocate(header.remaining() + payload.length)
                .put(header)
                .put(payload)
                .array();
    }

    /**
     * Decodes the bytes after the length. Never allocates more than the size of {@code content}.
     *
     * @param remote named in failures
     */
    static Either<TransportFailure, Frame> decode(String remote, byte[] content) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(content)) {
            int fields = unpacker.unpackArrayHeader();
            if (fields < 1) {
                return malformed(remote, "the array is empty");
            }
            // The version comes first and alone, so that any later format is recognised as one.
            long version = unpacker.unpackLong();
            if (version != Frame.VERSION) {
                return Either.left(new TransportFailure.WrongVersion(remote, version));
            }
            if (fields != FIELD_COUNT) {
                return malformed(remote, "the array has " + fields + " fields");
            }
            return decodeFields(remote, content.length, unpacker);
        } catch (MessagePackException | IOException fault) {
            return malformed(remote, fault.getClass().getSimpleName());
        }
    }

    private static Either<TransportFailure, Frame> decodeFields(
            String remote, int totalBytes, MessageUnpacker unpacker) throws IOException {
        long epoch = unpacker.unpackLong();
        int kindCode = unpacker.unpackInt();
        long correlation = unpacker.unpackLong();
        int type = unpacker.unpackInt();
        int payloadBytes = unpacker.unpackBinaryHeader();
        if (payloadBytes != totalBytes - unpacker.getTotalReadBytes()) {
            return malformed(remote, "the payload's length differs from the frame's");
        }
        byte[] payload = unpacker.readPayload(payloadBytes);
        return FrameKind.ofCode(kindCode)
                .map(kind -> new Frame(epoch, kind, correlation, type, Bytes.copyOf(payload)))
                .toEither(
                        () ->
                                new TransportFailure.MalformedFrame(
                                        remote, "there is no kind " + kindCode));
    }

    private static Either<TransportFailure, Frame> malformed(String remote, String problem) {
        return Either.left(new TransportFailure.MalformedFrame(remote, problem));
    }
}
