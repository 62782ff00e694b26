package dev.kumquatweir.gateway.forward;

import static io.servicetalk.concurrent.api.SourceAdapters.toSource;

import dev.kumquatweir.gateway.upstream.ConnectionExchanges;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.http.api.ReservedStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One request on one reserved connection to an upstream. The connection returns to the pool only
 * after a complete response to this request. Confined to the I/O thread.
 */
final class UpstreamCall {
    /** A refusal is short; the rest of a longer body costs more than a new connection. */
    private static final int MAXIMUM_DISCARDED_BYTES = 64 << 10;

    private static final long MAXIMUM_DISCARD_MILLIS = 1_000;

    /** Receives the response. {@code bodyCompleted} or {@code callFailed} is the last call. */
    interface Listener {
        /**
         * Handles status and headers; the body follows unless this method closes the call.
         *
         * @param connectionReused whether the connection has carried an earlier request
         */
        void headReceived(StreamingHttpResponse response, boolean connectionReused);

        /** Handles a part of the body. */
        void bodyPartReceived(byte[] part);

        /** Handles the end of a complete body. */
        void bodyCompleted();

        /**
         * Handles a failure of the connection.
         *
         * @param sent whether bytes of the request may have reached the upstream
         * @param exception the cause
         */
        void callFailed(boolean sent, Throwable exception);
    }

    private final StreamingHttpClient mClient;
    private final boolean mOwnsClient;
    private final StreamingHttpRequest mRequest;
    private final Listener mListener;
    private @Nullable Cancellable mCurrentOperation;
    private @Nullable ReservedStreamingHttpConnection mConnection;
    private boolean mSent;
    private boolean mClosed;
    private boolean mDiscarding;
    private long mDiscardedBytes;

    /**
     * Creates a call that is not yet sent.
     *
     * @param client client of the upstream
     * @param ownsClient whether the client is closed at the end of the call
     * @param request the request
     * @param listener receives the response
     */
    UpstreamCall(
            StreamingHttpClient client,
            boolean ownsClient,
            StreamingHttpRequest request,
            Listener listener) {
        mClient = client;
        mOwnsClient = ownsClient;
        mRequest = request;
        mListener = listener;
    }

    void send() {
        mCurrentOperation =
                mClient.reserveConnection(mRequest).subscribe(this::connected, this::failCall);
    }

    /**
     * Closes the connection, so that the upstream cancels the request. The listener is not called
     * any more.
     */
    void close() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        Cancellable running = mCurrentOperation;
        if (running != null) {
            running.cancel();
        }
        closeConnection();
    }

    /**
     * Stops calling the listener, but reads the rest of the body, so that the connection can be
     * reused. A long or slow rest closes the connection.
     */
    void discard() {
        mDiscarding = true;
        mClient.executionContext()
                .ioExecutor()
                .schedule(this::close, MAXIMUM_DISCARD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void connected(ReservedStreamingHttpConnection connection) {
        mConnection = connection;
        if (mClosed) {
            closeConnection();
            return;
        }
        mSent = true;
        mCurrentOperation =
                connection.request(mRequest).subscribe(this::responseReceived, this::failCall);
    }

    private void responseReceived(StreamingHttpResponse response) {
        if (mClosed) {
            closeConnection();
            return;
        }
        ReservedStreamingHttpConnection connection = Objects.requireNonNull(mConnection);
        mListener.headReceived(
                response, ConnectionExchanges.isReused(connection.connectionContext()));
        if (!mClosed) {
            toSource(response.payloadBody()).subscribe(new BodySubscriber());
        }
    }

    private void failCall(Throwable exception) {
        if (mClosed) {
            return;
        }
        mClosed = true;
        closeConnection();
        if (!mDiscarding) {
            mListener.callFailed(mSent, exception);
        }
    }

    private void completeCall() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        ReservedStreamingHttpConnection connection = mConnection;
        if (mOwnsClient) {
            closeConnection();
        } else if (connection != null) {
            connection.releaseAsync().subscribe();
        }
        if (!mDiscarding) {
            mListener.bodyCompleted();
        }
    }

    private void discardPart(Buffer part) {
        mDiscardedBytes += part.readableBytes();
        if (mDiscardedBytes > MAXIMUM_DISCARDED_BYTES) {
            close();
        }
    }

    private void closeConnection() {
        ReservedStreamingHttpConnection connection = mConnection;
        if (connection != null) {
            connection.closeAsync().subscribe();
        }
        if (mOwnsClient) {
            mClient.closeAsync().subscribe();
        }
    }

    /** Passes the parts of the body to the listener. */
    private final class BodySubscriber implements PublisherSource.Subscriber<Buffer> {
        @Override
        public void onSubscribe(PublisherSource.Subscription subscription) {
            mCurrentOperation = subscription;
            subscription.request(Long.MAX_VALUE);
        }

        @Override
        public void onNext(@Nullable Buffer part) {
            if (part == null || mClosed) {
                return;
            }
            if (mDiscarding) {
                discardPart(part);
                return;
            }
            byte[] bytes = new byte[part.readableBytes()];
            part.readBytes(bytes);
            mListener.bodyPartReceived(bytes);
        }

        @Override
        public void onError(Throwable exception) {
            failCall(exception);
        }

        @Override
        public void onComplete() {
            completeCall();
        }
    }
}
