package dev.kumquatweir.gateway.http;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.failure.RequestFailure;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import java.util.ArrayList;
import java.util.List;

/** Reads a body into memory up to a size limit. Holds no state. */
public final class BodyCollector {
    /** About the time in which a large body is sent on and its memory is free again. */
    private static final long MEMORY_RETRY_MILLIS = 500;

    private BodyCollector() {}

    /**
     * Reads a body into memory.
     *
     * @param body parts of the body
     * @param limitBytes maximum size; a larger body fails the returned single with a {@link
     *     FailureException}
     */
    public static Single<Bytes> collect(Publisher<Buffer> body, long limitBytes) {
        return collect(body, limitBytes, new BodyMemory(Long.MAX_VALUE));
    }

    /**
     * Reads a body into memory that is shared with other bodies. After a success, the caller
     * releases the memory of the body.
     *
     * @param limitBytes maximum size; a larger body fails the returned single with a {@link
     *     FailureException}
     * @param memory fails the returned single with {@link RequestFailure.BodyMemoryFull} if it is
     *     full
     */
    public static Single<Bytes> collect(
            Publisher<Buffer> body, long limitBytes, BodyMemory memory) {
        return Single.defer(
                () -> {
                    Collected collected = new Collected(limitBytes, memory);
                    return body.collect(() -> collected, Collected::append)
                            .flatMap(Collected::take)
                            .beforeFinally(collected::release);
                });
    }

    /**
     * Reads a body and drops it, so that its connection can be reused.
     *
     * @param limitBytes maximum size; a larger body fails the returned completable with a {@link
     *     FailureException}, which closes the connection
     */
    public static Completable drain(Publisher<Buffer> body, long limitBytes) {
        return body.collect(
                        () -> 0L,
                        (size, part) -> {
                            long sum = size + part.readableBytes();
                            if (sum > limitBytes) {
                                throw new FailureException(
                                        new RequestFailure.BodyTooLarge(limitBytes));
                            }
                            return sum;
                        })
                .ignoreElement();
    }

    /** The parts of one body. The library calls it from one thread at a time. */
    private static final class Collected {
        private final long mLimitBytes;
        private final BodyMemory mMemory;
        private final List<byte[]> mParts = new ArrayList<>();
        private long mSize;
        private boolean mTaken;

        /** A caller gets its answer only if the rest of its body is read. */
        private boolean mDropping;

        Collected(long limitBytes, BodyMemory memory) {
            mLimitBytes = limitBytes;
            mMemory = memory;
        }

        Collected append(Buffer part) {
            long size = mSize + part.readableBytes();
            if (size > mLimitBytes) {
                throw new FailureException(new RequestFailure.BodyTooLarge(mLimitBytes));
            }
            if (!mDropping && !mMemory.grow(mSize, size)) {
                release();
                mDropping = true;
            }
            if (!mDropping) {
                byte[] bytes = new byte[part.readableBytes()];
                part.readBytes(bytes);
                mParts.add(bytes);
            }
            mSize = size;
            return this;
        }

        Single<Bytes> take() {
            if (mDropping) {
                return Single.failed(
                        new FailureException(
                                new RequestFailure.BodyMemoryFull(MEMORY_RETRY_MILLIS)));
            }
            Bytes body = Bytes.concat(mParts);
            mTaken = true;
            mParts.clear();
            return Single.succeeded(body);
        }

        void release() {
            if (!mDropping && !mTaken) {
                mMemory.release(mSize);
                mParts.clear();
                mSize = 0;
            }
        }
    }
}
