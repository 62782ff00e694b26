package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.gateway.dispatch.Exchange;
import dev.kumquatweir.gateway.dispatch.GenerationSummary;
import dev.kumquatweir.gateway.http.BodyMemory;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The body of a request and its memory, which is reserved until the request ends. A caller that
 * leaves doesn't release it, since the request may go on. Thread-safe.
 */
final class HeldBody {
    private final long mSize;
    private volatile Bytes mBytes;
    private final BodyMemory mMemory;
    private final AtomicBoolean mReleased = new AtomicBoolean();
    private final AtomicBoolean mSubmitted = new AtomicBoolean();

    /**
     * @param memory memory in which the body is reserved already
     */
    HeldBody(Bytes bytes, BodyMemory memory) {
        mSize = bytes.size();
        mBytes = bytes;
        mMemory = memory;
    }

    Bytes bytes() {
        return mBytes;
    }

    /** Returns an exchange that releases the memory at its end. */
    Exchange submitted(Exchange exchange) {
        mSubmitted.set(true);
        return new ReleasingExchange(exchange);
    }

    /** Releases the memory of a request that was refused before its submission. */
    void releaseUnlessSubmitted() {
        if (!mSubmitted.get()) {
            release();
        }
    }

    /** Releases the memory; further calls have no effect. */
    void release() {
        if (!mReleased.getAndSet(true)) {
            mBytes = Bytes.EMPTY;
            mMemory.release(mSize);
        }
    }

    private final class ReleasingExchange implements Exchange {
        private final Exchange mExchange;

        ReleasingExchange(Exchange exchange) {
            mExchange = exchange;
        }

        @Override
        public void token(String text) {
            mExchange.token(text);
        }

        @Override
        public void finished(GenerationSummary summary, String text) {
            release();
            mExchange.finished(summary, text);
        }

        @Override
        public void answered(RecordedResponse response) {
            release();
            mExchange.answered(response);
        }

        @Override
        public void failed(RequestFailure failure) {
            release();
            mExchange.failed(failure);
        }
    }
}
