package dev.kumquatweir.gateway.forward;

import static io.servicetalk.concurrent.api.SourceAdapters.toSource;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.http.api.ReservedStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * One request on one connection to an upstream. The connection is used again only after a whole
 * answer to this request. Used on the I/O thread.
 */
final class UpstreamCall {
    /** Takes what comes back. After {@code bodyCompleted} or {@code callFailed} nothing follows. */
    interface Listener {
        /** Takes the head of the answer; the body follows unless the call is closed in here. */
        void headReceived(StreamingHttpResponse response);

        /** Takes a part of the body. */
        void bodyPartReceived(byte[] part);

        /** Takes the end of a whole body. */
        void bodyCompleted();

        /**
         * Takes a failure.
         *
         * @param sent whether bytes of the request may have reached the upstream
         * @param problem what went wrong
         */
        void callFailed(boolean sent, Throwable problem);
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

    /**
     * Makes a call that is not yet sent.
     *
     * @param client client of the upstream
     * @param ownsClient whether the client is closed with the call
     * @param request the request
     * @param listener takes what comes back
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

    /** Closes the connection: the upstream drops the request, and nothing more is reported. */
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

    /** Reports nothing more, but reads the rest of the body, so that the connection can go on. */
    void discard() {
        mDiscarding = true;
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
        mListener.headReceived(response);
        if (!mClosed) {
            toSource(response.payloadBody()).subscribe(new BodySubscriber());
        }
    }

    private void failCall(Throwable problem) {
        if (mClosed) {
            return;
        }
        mClosed = true;
        closeConnection();
        if (!mDiscarding) {
            mListener.callFailed(mSent, problem);
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

    private void closeConnection() {
        ReservedStreamingHttpConnection connection = mConnection;
        if (connection != null) {
            connection.closeAsync().subscribe();
        }
        if (mOwnsClient) {
            mClient.closeAsync().subscribe();
        }
    }

    /** Passes the parts of the body on. */
    private final class BodySubscriber implements PublisherSource.Subscriber<Buffer> {
        @Override
        public void onSubscribe(PublisherSource.Subscription subscription) {
            mCurrentOperation = subscription;
            subscription.request(Long.MAX_VALUE);
        }

        @Override
        public void onNext(@Nullable Buffer part) {
            if (part == null || mClosed || mDiscarding) {
                return;
            }
            byte[] bytes = new byte[part.readableBytes()];
            part.readBytes(bytes);
            mListener.bodyPartReceived(bytes);
        }

        @Override
        public void onError(Throwable problem) {
            failCall(problem);
        }

        @Override
        public void onComplete() {
            completeCall();
        }
    }
}
