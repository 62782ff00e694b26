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
final class AnswerStream {
    private static final int LARGEST_BACKLOG_EVENTS = 4_096;

    private final PublisherSource.Processor<Buffer, Buffer> mEvents =
            Processors.newPublisherProcessor(LARGEST_BACKLOG_EVENTS);
    private final Function<String, Buffer> mEncoder;
    private final Runnable mOnCallerGone;
    private boolean mEnded;
    private long mWrittenNanos;

    /**
     * @param encoder makes the library's buffers
     * @param onCallerGone run when the caller closes the connection or falls behind
     */
    AnswerStream(Function<String, Buffer> encoder, Runnable onCallerGone, long nowNanos) {
        mEncoder = encoder;
        mOnCallerGone = onCallerGone;
        mWrittenNanos = nowNanos;
    }

    /** Returns the body of the answer; subscribed to once. */
    Publisher<Buffer> body() {
        // The events of a resumed answer come from the I/O threads of several connections. Without
        // the executor in between the library at times never wrote the last of them to the caller.
        return fromSource(mEvents).publishOn(Executors.global()).whenCancel(mOnCallerGone);
    }

    /** Writes one event. */
    synchronized void event(String data, long nowNanos) {
        write("data: " + data + "\n\n", nowNanos);
    }

    /**
     * Writes a comment if nothing was written for the given time, so that the connection is kept.
     */
    synchronized void keepAlive(long quietNanos, long nowNanos) {
        if (nowNanos - mWrittenNanos >= quietNanos) {
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
        event("[DONE]", nowNanos);
        end();
    }

    private void write(String text, long nowNanos) {
        if (mEnded) {
            return;
        }
        try {
            mEvents.onNext(mEncoder.apply(text));
            mWrittenNanos = nowNanos;
        } catch (RuntimeException backlogFull) {
            mEnded = true;
            mEvents.onError(backlogFull);
            mOnCallerGone.run();
        }
    }

    private void end() {
        if (!mEnded) {
            mEnded = true;
            mEvents.onComplete();
        }
    }
}
