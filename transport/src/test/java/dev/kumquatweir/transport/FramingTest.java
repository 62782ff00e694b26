package dev.kumquatweir.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.core.bytes.Bytes;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FramingTest {
    private static final int LIMIT_BYTES = 64 * 1024;

    private final ReceiveBudget mBudget = new ReceiveBudget(LIMIT_BYTES);
    private final List<Frame> mFrames = new ArrayList<>();

    private FrameAssembler assembler() {
        return new FrameAssembler("remote", LIMIT_BYTES, mBudget);
    }

    private Option<TransportFailure> decode(byte[] content) {
        return FrameCodec.decode("remote", content)
                .peek(mFrames::add)
                .fold(Option::of, frame -> Option.none());
    }

    private static byte[] random(long seed, int size) {
        byte[] content = new byte[size];
        new Random(seed).nextBytes(content);
        return content;
    }

    /** Guards against frames that depend on how the network cuts the stream of bytes. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 1000, 100_000})
    void framesSurviveAnyCutOfTheStream(int pieceBytes) {
        Frame small = new Frame(-1, FrameKind.REQUEST, 7, 300, Bytes.EMPTY);
        Frame large =
                new Frame(5, FrameKind.RESPONSE, 1L << 40, 0, Bytes.copyOf(random(1, 30_000)));
        FrameCodec codec = new FrameCodec();
        byte[] first = codec.encode(small);
        byte[] second = codec.encode(large);
        byte[] stream =
                ByteBuffer.allocate(first.length + second.length).put(first).put(second).array();
        FrameAssembler assembler = assembler();
        for (int offset = 0; offset < stream.length; offset += pieceBytes) {
            int count = Math.min(pieceBytes, stream.length - offset);
            assembler.accept(ByteBuffer.wrap(stream, offset, count), this::decode);
        }
        assertThat(mFrames, contains(small, large));
        assertThat(mBudget.usedBytes(), is(0L));
    }

    /** Guards against a length that makes the receiver allocate or wait without end. */
    @ParameterizedTest
    @ValueSource(ints = {LIMIT_BYTES + 1, Integer.MAX_VALUE, -1, Integer.MIN_VALUE})
    void oversizeLengthIsRefusedBeforeItsContent(int length) {
        ByteBuffer start = ByteBuffer.allocate(4).putInt(length).flip();
        assertThat(
                assembler().accept(start, this::decode).get(),
                instanceOf(TransportFailure.OversizeFrame.class));
    }

    /** Guards against many half-sent frames that together take all memory. */
    @Test
    void halfReceivedFramesShareBoundedMemory() {
        byte[] half = ByteBuffer.allocate(40_000).putInt(60_000).array();
        FrameAssembler first = assembler();
        assertThat(first.accept(ByteBuffer.wrap(half), this::decode).isEmpty(), is(true));
        assertThat(
                assembler().accept(ByteBuffer.wrap(half), this::decode).get(),
                instanceOf(TransportFailure.ReceiveMemoryFull.class));
        first.release();
        assertThat(mBudget.usedBytes(), is(0L));
        assertThat(assembler().accept(ByteBuffer.wrap(half), this::decode).isEmpty(), is(true));
    }

    /** Guards against memory reserved for announced bytes that never arrive. */
    @Test
    void memoryFollowsTheReceivedBytes() {
        byte[] start = ByteBuffer.allocate(5).putInt(LIMIT_BYTES).array();
        assembler().accept(ByteBuffer.wrap(start), this::decode);
        assertThat(mBudget.usedBytes(), lessThanOrEqualTo(4L * 1024));
    }

    /** Guards against an exception other than a typed failure for bytes from a stranger. */
    @Test
    void garbageIsRefusedAsMalformed() {
        Random random = new Random(20261204);
        for (int round = 0; round < 20_000; round++) {
            byte[] content = new byte[random.nextInt(64)];
            random.nextBytes(content);
            assertThat(FrameCodec.decode("remote", content).isLeft(), is(true));
        }
    }

    /** Guards against a changed byte that decodes to a frame of another length. */
    @Test
    void changedFramesDecodeTypedOrToTheSameSize() {
        Frame frame = new Frame(9, FrameKind.REQUEST, 3, 2, Bytes.copyOf(random(2, 100)));
        byte[] encoded = new FrameCodec().encode(frame);
        byte[] content = new byte[encoded.length - Frame.LENGTH_BYTES];
        Random random = new Random(20261205);
        for (int round = 0; round < 20_000; round++) {
            System.arraycopy(encoded, Frame.LENGTH_BYTES, content, 0, content.length);
            content[random.nextInt(20)] ^= (byte) (1 << random.nextInt(8));
            Either<TransportFailure, Frame> decoded = FrameCodec.decode("remote", content);
            if (decoded.isRight()) {
                assertThat(decoded.get().payload().size(), lessThanOrEqualTo(100));
            }
        }
    }

    /** Guards against reading a later format with the rules of this one. */
    @Test
    void anotherVersionIsRecognisedWhateverFollows() {
        byte[] later = {(byte) 0x93, 2, (byte) 0xc0, (byte) 0xc0};
        assertThat(
                FrameCodec.decode("remote", later).getLeft(),
                is(new TransportFailure.WrongVersion("remote", 2)));
    }
}
