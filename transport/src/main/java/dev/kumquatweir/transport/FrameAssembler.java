package dev.kumquatweir.transport;

import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Function;

/**
 * Cuts the bytes of one connection into frames. Memory grows with the bytes that have arrived, not
 * with the length that a frame announces. Used by one thread.
 */
final class FrameAssembler {
    private static final int FIRST_CAPACITY_BYTES = 4 * 1024;

    private final String mRemote;
    private final ReceiveBudget mBudget;
    private final ByteBuffer mLength = ByteBuffer.allocate(Frame.LENGTH_BYTES);
    private int mLimitBytes;
    private int mExpectedBytes = -1;
    private byte[] mContent = new byte[0];
    private int mReceivedBytes;

    /**
     * Makes an assembler at the start of a connection.
     *
     * @param limitBytes largest length that a frame may announce
     */
    FrameAssembler(String remote, int limitBytes, ReceiveBudget budget) {
        mRemote = remote;
        mLimitBytes = limitBytes;
        mBudget = budget;
    }

    /** Sets the largest length of the frames that follow. */
    void limitBytes(int limitBytes) {
        mLimitBytes = limitBytes;
    }

    /**
     * Takes all remaining bytes of a buffer.
     *
     * @param onFrame gets each complete frame without its length; a failure it returns ends the
     *     connection
     * @return the failure that ends the connection, if any
     */
    Option<TransportFailure> accept(
            ByteBuffer source, Function<byte[], Option<TransportFailure>> onFrame) {
        while (source.hasRemaining()) {
            Option<TransportFailure> failure =
                    mExpectedBytes < 0 ? acceptLength(source) : acceptContent(source);
            if (failure.isEmpty() && mExpectedBytes == mReceivedBytes) {
                failure = onFrame.apply(takeContent());
            }
            if (failure.isDefined()) {
                return failure;
            }
        }
        return Option.none();
    }

    /** Gives the memory of a half-received frame back. Call when the connection ends. */
    void release() {
        mBudget.release(mContent.length);
        mContent = new byte[0];
        mExpectedBytes = -1;
        mReceivedBytes = 0;
    }

    private Option<TransportFailure> acceptLength(ByteBuffer source) {
        while (source.hasRemaining() && mLength.hasRemaining()) {
            mLength.put(source.get());
        }
        if (mLength.hasRemaining()) {
            return Option.none();
        }
        long announced = Integer.toUnsignedLong(mLength.getInt(0));
        mLength.clear();
        if (announced > mLimitBytes) {
            return Option.of(new TransportFailure.OversizeFrame(mRemote, announced, mLimitBytes));
        }
        mExpectedBytes = (int) announced;
        return Option.none();
    }

    private Option<TransportFailure> acceptContent(ByteBuffer source) {
        int taken = Math.min(source.remaining(), mExpectedBytes - mReceivedBytes);
        int needed = mReceivedBytes + taken;
        if (needed > mContent.length) {
            int capacity = needed;
            if (needed < mExpectedBytes) {
                long doubled = Math.max(FIRST_CAPACITY_BYTES, 2L * needed);
                capacity = (int) Math.min(mExpectedBytes, doubled);
            }
            if (!mBudget.acquire(capacity - mContent.length)) {
                return Option.of(
                        new TransportFailure.ReceiveMemoryFull(mRemote, mBudget.limitBytes()));
            }
            mContent = Arrays.copyOf(mContent, capacity);
        }
        source.get(mContent, mReceivedBytes, taken);
        mReceivedBytes = needed;
        return Option.none();
    }

    private byte[] takeContent() {
        byte[] content = mContent;
        release();
        return content;
    }
}
