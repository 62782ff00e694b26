package dev.kumquatweir.gateway.caller;

import static io.servicetalk.concurrent.api.SourceAdapters.fromSource;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Publisher;
import java.util.function.Function;

/**
 * Server-sent event stream of one response. Buffers a bounded number of events for a caller that
 * reads slowly; when the buffer is full, the stream fails and the connection is closed.
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
     * @param encoder converts text to buffers of the HTTP library
     * @param onDisconnect run when the caller closes the connection or the buffer is full
     * @param nowNanos monotonic time at which the stream is opened
     */
    ResponseEventStream(Function<String, Buffer> encoder, Runnable onDisconnect, long nowNanos) {
        mEncoder = encoder;
        mOnDisconnect = onDisconnect;
        mLastWriteNanos = nowNanos;
    }

    /** Returns the body of the response, which must be subscribed to once only. */
    Publisher<Buffer> body() {
        // Events of a resumed stream are published from the I/O threads of several connections.
        // Without publishOn the HTTP library sometimes never wrote the last of them to the caller.
        return fromSource(mEvents).publishOn(Executors.global()).whenCancel(mOnDisconnect);
    }

    /** Writes one event. */
    synchronized void writeEvent(String data, long nowNanos) {
        write("data: " + data + "\n\n", nowNanos);
    }

    /**
     * Writes a comment if nothing was written for the given time, so that intermediaries do not
     * close the connection.
     */
    synchronized void keepAlive(long idleNanos, long nowNanos) {
        if (nowNanos - mLastWriteNanos >= idleNanos) {
            write(": keep-alive\n\n", nowNanos);
        }
    }

    /** Writes an error event and ends the stream without {@code [DONE]}. */
    synchronized void fail(String data, long nowNanos) {
        write("event: error\ndata: " + data + "\n\n", nowNanos);
        end();
    }

    /** Writes {@code [DONE]} and ends the stream. */
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
