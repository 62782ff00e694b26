package dev.kumquatweir.gateway.caller;

import static io.servicetalk.concurrent.api.SourceAdapters.fromSource;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Publisher;
import java.util.function.Function;

/**
 * The server-sent events of one answer. Holds a bounded number of events that the caller has not
 * taken; a caller that falls further behind loses its connection instead of filling the memory.
 * Thread-safe.
 */
final class ResponseEventStream {
    private static final int MAXIMUM_BUFFERED_EVENTS = 4_096;

    private final PublisherSource.Processor<Buffer, Buffer> mEvents =
            Processors.newPublisherProcessor(MAXIMUM_BUFFERED_EVENTS);
    private final Function<String, Buffer> mEncoder;
    private final Runnable mOnDisconnect;
    private boolean mEnded;
    private long mLastWriteNanos;

    /**
     * @param encoder makes the library's buffers
     * @param onDisconnect run when the caller closes the connection or falls behind
     */
    ResponseEventStream(Function<String, Buffer> encoder, Runnable onDisconnect, long nowNanos) {
        mEncoder = encoder;
        mOnDisconnect = onDisconnect;
        mLastWriteNanos = nowNanos;
    }

    /** Returns the body of the answer; subscribed to once. */
    Publisher<Buffer> body() {
        // The events of a resumed answer come from the I/O threads of several connections. Without
        // the executor in between the library at times never wrote the last of them to the caller.
        return fromSource(mEvents).publishOn(Executors.global()).whenCancel(mOnDisconnect);
    }

    /** Writes one event. */
    synchronized void writeEvent(String data, long nowNanos) {
        write("data: " + data + "\n\n", nowNanos);
    }

    /**
     * Writes a comment if nothing was written for the given time, so that the connection is kept.
     */
    synchronized void keepAlive(long idleNanos, long nowNanos) {
        if (nowNanos - mLastWriteNanos >= idleNanos) {
            write(": keep-alive\n\n", nowNanos);
        }
    }

    /** Writes a last event with the failure and ends the stream without its end mark. */
    synchronized void fail(String data, long nowNanos) {
        write("event: error\ndata: " + data + "\n\n", nowNanos);
        end();
    }

    /** Writes the end mark of a whole answer and ends the stream. */
    synchronized void complete(long nowNanos) {
        writeEvent("[DONE]", nowNanos);
        end();
    }

    private void write(String text, long nowNanos) {
        if (mEnded) {
            return;
        }
        try {
            mEvents.onNext(mEncoder.apply(text));
            mLastWriteNanos = nowNanos;
        } catch (RuntimeException bufferOverflow) {
            mEnded = true;
            mEvents.onError(bufferOverflow);
            mOnDisconnect.run();
        }
    }

    private void end() {
        if (!mEnded) {
            mEnded = true;
            mEvents.onComplete();
        }
    }
}
