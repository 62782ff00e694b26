package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.gateway.http.BodyMemory;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Publisher;
import java.util.stream.IntStream;

/**
 * The part of a response that its caller has not taken yet. It counts for the memory of responses
 * until it is written or the connection ends, and is dropped then: the HTTP library refers to the
 * last response of a connection as long as that is kept. Confined to the I/O thread.
 */
final class HeldResponse {
    /** Bytes passed to the connection at a time, so that the others are written as it has room. */
    private static final int PIECE_BYTES = 16 << 10;

    private final BodyMemory mMemory;
    private final Completable mClosed;
    private Bytes mBody = Bytes.EMPTY;
    private long mHeldBytes;

    /**
     * @param memory shared by all responses that the instance holds
     * @param closed completes when the connection of the caller has ended
     */
    HeldResponse(BodyMemory memory, Completable closed) {
        mMemory = memory;
        mClosed = closed;
    }

    /** Adds a part. Returns false, and doesn't count it, if the memory is used up. */
    boolean add(int bytes) {
        if (!mMemory.grow(mHeldBytes, mHeldBytes + bytes)) {
            return false;
        }
        mHeldBytes += bytes;
        return true;
    }

    /** Returns the parts, each of which is released when it is passed to the connection. */
    Publisher<Buffer> releasing(Publisher<Buffer> parts) {
        return parts.beforeOnNext(part -> remove(part.readableBytes())).beforeFinally(this::clear);
    }

    /** Returns the pieces of a body, which counts from now on, also beyond the limit. */
    Publisher<Buffer> pieces(Bytes body, BufferAllocator buffers) {
        mBody = body;
        int count = (body.size() + PIECE_BYTES - 1) / PIECE_BYTES;
        Iterable<Buffer> pieces =
                () ->
                        IntStream.range(0, count)
                                .mapToObj(number -> piece(number, buffers))
                                .iterator();
        mMemory.reserve(body.size());
        mHeldBytes = body.size();
        Publisher<Buffer> releasing = releasing(Publisher.fromIterable(pieces));
        if (body.size() <= BodyMemory.UNRESERVED_BYTES) {
            return releasing;
        }
        // A connection that ends before the response is written never asks for the pieces.
        Cancellable closing = mClosed.whenFinally(this::clear).subscribe();
        return releasing.beforeFinally(closing::cancel);
    }

    private Buffer piece(int number, BufferAllocator buffers) {
        int offset = number * PIECE_BYTES;
        int length = Math.min(PIECE_BYTES, mBody.size() - offset);
        return buffers.wrap(mBody.slice(offset, length).toArray());
    }

    private void remove(int bytes) {
        long left = Math.max(0, mHeldBytes - bytes);
        mMemory.shrink(mHeldBytes, left);
        mHeldBytes = left;
    }

    private void clear() {
        mMemory.release(mHeldBytes);
        mHeldBytes = 0;
        mBody = Bytes.EMPTY;
    }
}
