package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.gateway.http.BodyMemory;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the body of a response that is not streamed. An upstream at fault may send a body
 * without end, so each body has a limit, and larger ones share the memory of the instance. Not
 * thread-safe.
 */
final class ResponseCollector {
    /** The callers' bodies have the same limit in the usual configurations. */
    static final int MAXIMUM_BYTES = 4 << 20;

    private final BodyMemory mMemory;
    private final List<byte[]> mParts = new ArrayList<>();
    private int mSize;

    /**
     * @param memory shared by all responses that the instance collects
     */
    ResponseCollector(BodyMemory memory) {
        mMemory = memory;
    }

    /** Returns whether the body would exceed the limit of each body with a further part. */
    boolean exceedsLimit(byte[] part) {
        return (long) mSize + part.length > MAXIMUM_BYTES;
    }

    /** Appends a part. Returns false, and keeps nothing, if the body exceeds a limit. */
    boolean append(byte[] part) {
        if (exceedsLimit(part) || !mMemory.grow(mSize, (long) mSize + part.length)) {
            release();
            return false;
        }
        mParts.add(part);
        mSize += part.length;
        return true;
    }

    /** Returns the body and releases its memory. */
    Bytes complete() {
        Bytes body = Bytes.concat(mParts);
        release();
        return body;
    }

    /** Drops the body and releases its memory. May be called more than once. */
    void release() {
        mMemory.release(mSize);
        mParts.clear();
        mSize = 0;
    }

    /** Returns the number of bytes collected so far. */
    int size() {
        return mSize;
    }
}
