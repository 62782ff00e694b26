package dev.kumquatweir.transport;

import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * The frames that wait to be written on one connection, bounded by number and payload bytes. {@link
 * #offer} and {@link #withdraw} may be called from any thread, the rest only by the I/O thread.
 */
final class OutboundQueue {
    private record Encoded(ByteBuffer header, ByteBuffer payload, Outgoing source) {
        int remaining() {
            return header.remaining() + payload.remaining();
        }
    }

    private final String mRemote;
    private final PeerLimits mLimits;
    private final FrameCodec mCodec;
    private final Queue<Outgoing> mOffered = new ConcurrentLinkedQueue<>();
    private final AtomicLong mFrames = new AtomicLong();
    private final AtomicLong mBytes = new AtomicLong();
    private final Deque<Outgoing> mWaiting = new ArrayDeque<>();
    private final Deque<Encoded> mEncoded = new ArrayDeque<>();
    private boolean mPongWaits;

    OutboundQueue(String remote, PeerLimits limits, FrameCodec codec) {
        mRemote = remote;
        mLimits = limits;
        mCodec = codec;
    }

    /** Queues a frame within the bounds, or returns why not. */
    Option<TransportFailure> offer(Outgoing frame) {
        int size = frame.payload().size();
        long frames = mFrames.incrementAndGet();
        long bytes = mBytes.addAndGet(size);
        if (frames > mLimits.outboundFrames() || bytes > mLimits.outboundBytes()) {
            forget(size);
            return Option.of(new TransportFailure.QueueFull(mRemote, frames - 1, bytes - size));
        }
        mOffered.add(frame);
        return Option.none();
    }

    /** Takes a frame back; false if the I/O thread already has it. */
    boolean withdraw(Outgoing frame) {
        boolean withdrawn = mOffered.remove(frame);
        if (withdrawn) {
            forget(frame.payload().size());
        }
        return withdrawn;
    }

    /** Takes over the offered frames and shows each to the consumer. */
    void drain(Consumer<Outgoing> onFrame) {
        for (Outgoing frame = mOffered.poll(); frame != null; frame = mOffered.poll()) {
            onFrame.accept(frame);
            mWaiting.addLast(frame);
        }
    }

    /**
     * Puts a control frame before all frames that have not been started, so that a large backlog
     * does not make the connection look silent. At most one pong waits at a time.
     */
    void addControl(Outgoing frame) {
        if (frame.kind() == FrameKind.PONG) {
            if (mPongWaits) {
                return;
            }
            mPongWaits = true;
        }
        mFrames.incrementAndGet();
        mBytes.addAndGet(frame.payload().size());
        mWaiting.addFirst(frame);
    }

    /** Appends a frame of the handshake. */
    void addLast(Outgoing frame) {
        mFrames.incrementAndGet();
        mBytes.addAndGet(frame.payload().size());
        mWaiting.addLast(frame);
    }

    /** Copies as much as fits into a buffer without removing it from the queue. */
    void fill(long epoch, ByteBuffer target) {
        for (Encoded encoded : mEncoded) {
            copy(encoded, target);
        }
        while (target.hasRemaining()) {
            Outgoing frame = mWaiting.pollFirst();
            if (frame == null) {
                return;
            }
            if (frame.abandoned()) {
                forget(frame.payload().size());
                continue;
            }
            Encoded encoded = encode(epoch, frame);
            mEncoded.addLast(encoded);
            copy(encoded, target);
        }
    }

    /**
     * Removes bytes that were written.
     *
     * @return the number of frames that are now written completely
     */
    int consume(int writtenBytes) {
        int left = writtenBytes;
        int frames = 0;
        while (left > 0) {
            Encoded first = mEncoded.getFirst();
            left -= advance(first.header(), left);
            left -= advance(first.payload(), left);
            if (first.remaining() == 0) {
                mEncoded.removeFirst();
                forget(first.source().payload().size());
                frames++;
            }
        }
        return frames;
    }

    /** Returns whether nothing waits on the I/O thread's side. */
    boolean isEmpty() {
        return mEncoded.isEmpty() && mWaiting.isEmpty();
    }

    private Encoded encode(long epoch, Outgoing frame) {
        if (frame.kind() == FrameKind.PONG) {
            mPongWaits = false;
        }
        PendingRequest request = frame.request();
        if (request != null) {
            request.markSent();
        }
        byte[] payload = frame.payload().toArray();
        ByteBuffer header =
                mCodec.encodeHeader(
                        epoch, frame.kind(), frame.correlation(), frame.type(), payload.length);
        return new Encoded(header, ByteBuffer.wrap(payload), frame);
    }

    private void forget(int payloadBytes) {
        mFrames.decrementAndGet();
        mBytes.addAndGet(-payloadBytes);
    }

    private static void copy(Encoded encoded, ByteBuffer target) {
        copy(encoded.header(), target);
        copy(encoded.payload(), target);
    }

    private static void copy(ByteBuffer source, ByteBuffer target) {
        int count = Math.min(source.remaining(), target.remaining());
        target.put(target.position(), source, source.position(), count);
        target.position(target.position() + count);
    }

    private static int advance(ByteBuffer buffer, int limit) {
        int count = Math.min(buffer.remaining(), limit);
        buffer.position(buffer.position() + count);
        return count;
    }
}
