package dev.kumquatweir.gateway.upstream;

import dev.kumquatweir.gateway.dispatch.AttemptListener;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource;
import org.jspecify.annotations.Nullable;

/**
 * Reads an engine's event stream and tells the listener. The library calls it from one thread at a
 * time; {@link #close} may be called from any thread.
 */
final class GenerationSubscriber implements PublisherSource.Subscriber<Buffer> {
    private static final int LARGEST_REST_BYTES = 64 << 10;

    private final GenerationEvents mEvents;
    private final AttemptListener mListener;
    private volatile PublisherSource.@Nullable Subscription mSubscription;
    private volatile boolean mClosed;
    private long mDroppedBytes;

    GenerationSubscriber(AttemptListener listener) {
        mListener = listener;
        mEvents = new GenerationEvents(listener);
    }

    /** Closes the connection; the listener hears nothing afterwards. */
    void close() {
        mClosed = true;
        PublisherSource.Subscription subscription = mSubscription;
        if (subscription != null) {
            subscription.cancel();
        }
    }

    @Override
    public void onSubscribe(PublisherSource.Subscription subscription) {
        mSubscription = subscription;
        if (mClosed) {
            subscription.cancel();
        } else {
            subscription.request(Long.MAX_VALUE);
        }
    }

    @Override
    public void onNext(@Nullable Buffer part) {
        if (part == null || mClosed) {
            return;
        }
        if (mEvents.ended()) {
            dropPart(part);
            return;
        }
        byte[] bytes = new byte[part.readableBytes()];
        part.readBytes(bytes);
        if (!mEvents.feed(bytes)) {
            close();
            mListener.broken(AttemptEvent.BreakCause.UPSTREAM_ERROR);
        }
    }

    /** Reads past the last event, so that the connection can be reused, unless that has no end. */
    private void dropPart(Buffer part) {
        mDroppedBytes += part.readableBytes();
        if (mDroppedBytes > LARGEST_REST_BYTES) {
            close();
        }
    }

    @Override
    public void onError(Throwable problem) {
        if (!mEvents.ended() && !mClosed) {
            AttemptProblems.report(problem, mListener);
        }
    }

    @Override
    public void onComplete() {
        if (!mEvents.ended() && !mClosed) {
            mListener.broken(AttemptEvent.BreakCause.CONNECTION_LOST);
        }
    }
}
