package dev.kumquatweir.gateway.http;

import io.netty.buffer.ByteBuf;

/**
 * Counts what a connection received since its decoder delivered the last part of a message: the
 * bytes and lines of a head, of trailers, of the size line of a chunk, of interim responses or of
 * empty lines. The decoder limits each line, but keeps any number of them. Not thread-safe.
 */
public final class HeadMeter {
    /** Memory that a decoded field takes besides its bytes: an entry with its name and value. */
    private static final long FIELD_BYTES = 256;

    private final int mMaximumBytes;
    private final int mMaximumLines;
    private long mBytes;
    private long mLines;
    private boolean mOnlyEmptyLines = true;

    /** Creates a meter without anything received. */
    public HeadMeter(int maximumBytes, int maximumLines) {
        mMaximumBytes = maximumBytes;
        mMaximumLines = maximumLines;
    }

    /** Counts bytes that the decoder is about to read. */
    public void add(ByteBuf bytes) {
        mBytes += bytes.readableBytes();
        int end = bytes.writerIndex();
        int next = bytes.indexOf(bytes.readerIndex(), end, (byte) '\n');
        while (next >= 0) {
            mLines++;
            next = bytes.indexOf(next + 1, end, (byte) '\n');
        }
        mOnlyEmptyLines =
                mOnlyEmptyLines && bytes.forEachByte(each -> each == '\r' || each == '\n') < 0;
    }

    /** Notes that the decoder delivered a part of a message. */
    public void reset() {
        mBytes = 0;
        mLines = 0;
        mOnlyEmptyLines = true;
    }

    /** Returns the number of bytes since the last part. */
    public long bytes() {
        return mBytes;
    }

    /** Returns an estimate of the memory that the bytes since the last part take when decoded. */
    public long decodedBytes() {
        return mBytes + FIELD_BYTES * mLines;
    }

    /** Returns whether a head has begun: empty lines before it belong to none. */
    public boolean started() {
        return mBytes > 0 && !mOnlyEmptyLines;
    }

    /** Returns whether only empty lines came since the last part. */
    public boolean onlyEmptyLines() {
        return mOnlyEmptyLines;
    }

    /** Returns whether too many bytes came. */
    public boolean tooManyBytes() {
        return mBytes > mMaximumBytes;
    }

    /** Returns whether too many lines came. */
    public boolean tooManyLines() {
        return mLines > mMaximumLines;
    }
}
