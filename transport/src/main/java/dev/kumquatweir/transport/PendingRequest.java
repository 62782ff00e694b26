package dev.kumquatweir.transport;

import dev.kumquatweir.core.bytes.Bytes;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;

/** One request without an answer. Only the I/O thread changes it after its creation. */
final class PendingRequest {
    private final long mCorrelation;
    private final long mDeadlineNanos;
    private final CompletableFuture<Either<TransportFailure, Bytes>> mAnswer =
            new CompletableFuture<>();
    private boolean mSent;
    private boolean mEnded;

    PendingRequest(long correlation, long deadlineNanos) {
        mCorrelation = correlation;
        mDeadlineNanos = deadlineNanos;
    }

    long correlation() {
        return mCorrelation;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    CompletableFuture<Either<TransportFailure, Bytes>> answer() {
        return mAnswer;
    }

    boolean sent() {
        return mSent;
    }

    void markSent() {
        mSent = true;
    }

    /** Returns whether the request has an answer or a failure; an unsent one is not sent then. */
    boolean ended() {
        return mEnded;
    }

    void end(Either<TransportFailure, Bytes> result) {
        mEnded = true;
        mAnswer.complete(result);
    }
}
