package dev.kumquatweir.transport;

import java.nio.ByteBuffer;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;

/**
 * What all connections of one network share. The buffers, the codec and the budget belong to the
 * I/O thread; the counters may be read by any thread.
 */
final class IoResources {

    private static final int BUFFER_BYTES = 256 * 1024;

    private final PeerLimits mLimits;
    private final LongSupplier mClock;
    private final FrameCodec mCodec = new FrameCodec();
    private final ReceiveBudget mBudget;
    private final ByteBuffer mReadBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final ByteBuffer mWriteBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final LongAdder mSentBytes = new LongAdder();
    private final LongAdder mReceivedBytes = new LongAdder();
    private final LongAdder mSentFrames = new LongAdder();
    private final LongAdder mReceivedFrames = new LongAdder();
    private final LongAdder mLateAnswers = new LongAdder();

    IoResources(PeerLimits limits, LongSupplier clock) {
        mLimits = limits;
        mClock = clock;
        mBudget = new ReceiveBudget(limits.receiveMemoryBytes());
    }

    PeerLimits limits() {
        return mLimits;
    }

    long nowNanos() {
        return mClock.getAsLong();
    }

    FrameCodec codec() {
        return mCodec;
    }

    ReceiveBudget budget() {
        return mBudget;
    }

    ByteBuffer clearedReadBuffer() {
        return mReadBuffer.clear();
    }

    ByteBuffer clearedWriteBuffer() {
        return mWriteBuffer.clear();
    }

    void countSent(int bytes, int frames) {
        mSentBytes.add(bytes);
        mSentFrames.add(frames);
    }

    void countReceived(int bytes) {
        mReceivedBytes.add(bytes);
    }

    void countReceivedFrame() {
        mReceivedFrames.increment();
    }

    void countLateAnswer() {
        mLateAnswers.increment();
    }

    TransportStatistics statistics(int connections) {
        return new TransportStatistics(
                mSentBytes.sum(),
                mReceivedBytes.sum(),
                mSentFrames.sum(),
                mReceivedFrames.sum(),
                mLateAnswers.sum(),
                connections);
    }
}
