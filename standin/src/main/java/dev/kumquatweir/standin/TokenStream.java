package dev.kumquatweir.standin;

import static io.servicetalk.concurrent.api.Processors.newPublisherProcessor;
import static io.servicetalk.concurrent.api.SourceAdapters.fromSource;

import dev.kumquatweir.standin.model.EngineEvent;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.api.Publisher;
import java.nio.channels.ClosedChannelException;
import java.util.function.BooleanSupplier;

/**
 * The server-sent events of one attempt. Events of one engine step are written together. The owner
 * is the engine's thread; the reader may be any.
 */
final class TokenStream {
    /** A reader this far behind loses its stream. */
    private static final int LONGEST_BACKLOG = 100_000;

    private final PublisherSource.Processor<Buffer, Buffer> mProcessor =
            newPublisherProcessor(LONGEST_BACKLOG);
    private final EventFormat mFormat;
    private final BufferAllocator mAllocator;
    private final BooleanSupplier mSilent;
    private final StringBuilder mText = new StringBuilder();
    private boolean mEnded;
    private boolean mCompleted;

    TokenStream(EventFormat format, BufferAllocator allocator, BooleanSupplier silent) {
        mFormat = format;
        mAllocator = allocator;
        mSilent = silent;
    }

    Publisher<Buffer> reader() {
        return fromSource(mProcessor);
    }

    void token(EngineEvent.Token token) {
        mFormat.token(mText, token);
    }

    void finished(EngineEvent.Finished finished) {
        mFormat.finished(mText, finished);
        mEnded = true;
    }

    void aborted(String reason) {
        mFormat.aborted(mText, reason);
        mEnded = true;
    }

    boolean silent() {
        return mSilent.getAsBoolean();
    }

    /** Writes what was gathered and ends the stream if it has come to its end. */
    void flush() {
        if (mSilent.getAsBoolean()) {
            mText.setLength(0);
            return;
        }
        if (!mText.isEmpty()) {
            mProcessor.onNext(mAllocator.fromAscii(mText));
            mText.setLength(0);
        }
        if (mEnded && !mCompleted) {
            mCompleted = true;
            mProcessor.onComplete();
        }
    }

    /** Breaks the connection off, as a crash does. */
    void breakOff() {
        mProcessor.onError(new ClosedChannelException());
    }
}
