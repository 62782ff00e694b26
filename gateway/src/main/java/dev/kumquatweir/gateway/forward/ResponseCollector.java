package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.gateway.http.BodyMemory;
import java.io.ByteArrayOutputStream;

/**
 * Collects the body of a response that is not streamed. An upstream at fault may send a body
 * without end, so each body has a limit, and larger ones share the memory of the instance. Not
 * thread-safe.
 */
final class ResponseCollector {
    /** The callers' bodies have the same limit in the usual configurations. */
    static final int MAXIMUM_BYTES = 4 << 20;

    private final BodyMemory mMemory;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();

    /**
     * @param memory shared by all responses that the instance collects
     */
    ResponseCollector(BodyMemory memory) {
        mMemory = memory;
    }

    /** Appends a part. Returns false, and keeps nothing, if the body exceeds a limit. */
    boolean append(byte[] part) {
        long size = (long) mBody.size() + part.length;
        if (size > MAXIMUM_BYTES || !mMemory.grow(mBody.size(), size)) {
            release();
            return false;
        }
        mBody.write(part, 0, part.length);
        return true;
    }

    /** Returns the body and releases its memory. */
    Bytes complete() {
        Bytes body = Bytes.copyOf(mBody.toByteArray());
        release();
        return body;
    }

    /** Drops the body and releases its memory. May be called more than once. */
    void release() {
        mMemory.release(mBody.size());
        mBody.reset();
    }

    /** Returns the number of bytes collected so far. */
    int size() {
        return mBody.size();
    }
}
