package dev.kumquatweir.transport;

import dev.kumquatweir.core.bytes.Bytes;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.MessageDigest;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Authenticates both sides of one connection. Does no I/O. Used by one thread.
 *
 * <p>Each side sends a hello with its cluster, instance and a random challenge at once, and after
 * the other's hello a proof: the HMAC over role, cluster, both instances, both challenges and the
 * epoch, which the dialler chooses. The role in the proof prevents that a side is satisfied with
 * its own proof sent back.
 */
final class Handshake {
    /** Size of a challenge. */
    static final int CHALLENGE_BYTES = 32;

    /** Largest frame before authentication; both names have at most 200 characters. */
    static final int FRAME_LIMIT_BYTES = 1024;

    /**
     * What an instance says of itself.
     *
     * @param cluster name of the cluster
     * @param instance identifier of the instance
     * @param key secret of the cluster
     */
    record Identity(String cluster, String instance, ClusterKey key) {}

    private record Hello(String cluster, String instance, Bytes challenge) {}

    private final boolean mDialler;
    private final Identity mIdentity;
    private final String mRemote;
    private final Bytes mChallenge;
    private long mEpoch;
    private @Nullable Hello mTheirs;
    private boolean mComplete;

    /**
     * Starts a handshake.
     *
     * @param remote named in failures
     * @param challenge fresh random bytes
     * @param epoch fresh random number; used by the dialler only
     */
    Handshake(boolean dialler, Identity identity, String remote, byte[] challenge, long epoch) {
        mDialler = dialler;
        mIdentity = identity;
        mRemote = remote;
        mChallenge = Bytes.copyOf(challenge);
        mEpoch = dialler ? epoch : 0;
    }

    /** Returns the frame to send first. */
    Frame hello() {
        Hello hello = new Hello(mIdentity.cluster(), mIdentity.instance(), mChallenge);
        return new Frame(mEpoch, FrameKind.HELLO, 0, 0, encode(hello));
    }

    /**
     * Takes a frame of the other side.
     *
     * @return the frame to send next, if any, or the failure that ends the connection
     */
    Either<TransportFailure, Option<Frame>> accept(Frame frame) {
        Hello theirs = mTheirs;
        if (theirs == null) {
            return frame.kind() == FrameKind.HELLO
                    ? acceptHello(frame)
                    : malformed(frame.kind() + " before the hello");
        }
        return frame.kind() == FrameKind.PROOF && frame.epoch() == mEpoch
                ? acceptProof(frame, theirs)
                : malformed(frame.kind() + " instead of a proof");
    }

    /** Returns whether the other side has proved that it has the key. */
    boolean complete() {
        return mComplete;
    }

    /** Returns the identifier that the other side gave, or an empty text before its hello. */
    String theirInstance() {
        Hello theirs = mTheirs;
        return theirs == null ? "" : theirs.instance();
    }

    /** Returns the connection's random number; known after the dialler's hello. */
    long epoch() {
        return mEpoch;
    }

    private Either<TransportFailure, Option<Frame>> acceptHello(Frame frame) {
        Hello theirs = decode(frame.payload());
        if (theirs == null) {
            return malformed("unreadable hello");
        }
        if (!theirs.cluster().equals(mIdentity.cluster())) {
            return Either.left(new TransportFailure.WrongCluster(mRemote, theirs.cluster()));
        }
        mTheirs = theirs;
        if (!mDialler) {
            mEpoch = frame.epoch();
        }
        Bytes proof = Bytes.copyOf(proof(mDialler, theirs));
        return Either.right(Option.of(new Frame(mEpoch, FrameKind.PROOF, 0, 0, proof)));
    }

    private Either<TransportFailure, Option<Frame>> acceptProof(Frame frame, Hello theirs) {
        byte[] expected = proof(!mDialler, theirs);
        if (mComplete || !MessageDigest.isEqual(expected, frame.payload().toArray())) {
            return Either.left(new TransportFailure.WrongKey(mRemote));
        }
        mComplete = true;
        return Either.right(Option.none());
    }

    private byte[] proof(boolean dialler, Hello theirs) {
        Hello ours = new Hello(mIdentity.cluster(), mIdentity.instance(), mChallenge);
        Hello first = mDialler ? ours : theirs;
        Hello second = mDialler ? theirs : ours;
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(Frame.VERSION);
            packer.packBoolean(dialler);
            packer.packLong(mEpoch);
            packer.writePayload(encode(first).toArray());
            packer.writePayload(encode(second).toArray());
            return mIdentity.key().authenticate(packer.toByteArray());
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    private static Bytes encode(Hello hello) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(3);
            packer.packString(hello.cluster());
            packer.packString(hello.instance());
            packer.packBinaryHeader(CHALLENGE_BYTES);
            packer.writePayload(hello.challenge().toArray());
            return Bytes.copyOf(packer.toByteArray());
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    private static @Nullable Hello decode(Bytes payload) {
        byte[] content = payload.toArray();
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(content)) {
            if (unpacker.unpackArrayHeader() != 3) {
                return null;
            }
            String cluster = unpacker.unpackString();
            String instance = unpacker.unpackString();
            int start = content.length - CHALLENGE_BYTES;
            if (unpacker.unpackBinaryHeader() != CHALLENGE_BYTES
                    || unpacker.getTotalReadBytes() != start) {
                return null;
            }
            byte[] challenge = unpacker.readPayload(CHALLENGE_BYTES);
            return new Hello(cluster, instance, Bytes.copyOf(challenge));
        } catch (MessagePackException | IOException fault) {
            return null;
        }
    }

    private Either<TransportFailure, Option<Frame>> malformed(String problem) {
        return Either.left(new TransportFailure.MalformedFrame(mRemote, problem));
    }
}
