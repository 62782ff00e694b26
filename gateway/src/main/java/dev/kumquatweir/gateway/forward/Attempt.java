package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.io.ByteArrayOutputStream;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** One send to one upstream, and its answer as it comes in. Used on the I/O thread. */
final class Attempt implements UpstreamCall.Listener {
    /** The request that the attempt is for. */
    interface Owner {
        /** Returns whether the request still waits for this attempt. */
        boolean isCurrent(Attempt attempt);

        /** Returns the present monotonic time. */
        long nowNanos();

        /**
         * Takes an event of the answer.
         *
         * @param head head of the answer
         * @param first whether it is the first event of this attempt
         */
        void eventReceived(
                StreamingHttpResponse head, EventStreamSplitter.Event event, boolean first);

        /** Takes the end of a whole stream. */
        void streamCompleted();

        /** Takes a whole answer that is no stream. */
        void responseCompleted(
                StreamingHttpResponse response, UpstreamResponseHead head, Bytes body);

        /** Takes the loss of the connection. */
        void connectionFailed(boolean sent, Throwable problem);

        /** Takes any other failure of the attempt. */
        void attemptFailed(PlacementOutcome outcome, String culprit, boolean mayHaveExecuted);
    }

    private final ForwardedRequest mRequest;
    private final RequestDialect mDialect;
    private final Owner mOwner;
    private final long mSentNanos;
    private final long mFirstEventLimitMillis;
    private final EventStreamSplitter mEventSplitter = new EventStreamSplitter();
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private @Nullable UpstreamCall mCall;
    private @Nullable StreamingHttpResponse mResponse;
    private @Nullable UpstreamResponseHead mHead;
    private boolean mStreaming;
    private boolean mFirstPartReceived;
    private long mLastPartNanos;

    /**
     * Makes an attempt that is not yet sent.
     *
     * @param expectedMillis expected time to the answer or its first event
     */
    Attempt(
            ForwardedRequest request,
            RequestDialect dialect,
            Owner owner,
            long expectedMillis,
            long nowNanos) {
        mRequest = request;
        mDialect = dialect;
        mOwner = owner;
        mSentNanos = nowNanos;
        mLastPartNanos = nowNanos;
        mFirstEventLimitMillis =
                SilenceLimits.firstEventLimitMillis(request.route(), expectedMillis);
    }

    void send(StreamingHttpClient client, boolean ownsClient, StreamingHttpRequest request) {
        UpstreamCall call = new UpstreamCall(client, ownsClient, request, this);
        mCall = call;
        call.send();
    }

    /** Closes the connection, so that the upstream drops the request. */
    void close() {
        call().close();
    }

    /** Returns whether the upstream has said nothing for too long. */
    boolean exceedsSilenceLimit(long nowNanos) {
        long limitMillis =
                mFirstPartReceived
                        ? SilenceLimits.eventGapLimitMillis(mRequest.route())
                        : mFirstEventLimitMillis;
        long lastActivityNanos = mFirstPartReceived ? mLastPartNanos : mSentNanos;
        return limitMillis != Long.MAX_VALUE
                && nowNanos - lastActivityNanos > TimeUnit.MILLISECONDS.toNanos(limitMillis);
    }

    @Override
    public void headReceived(StreamingHttpResponse response) {
        if (!mOwner.isCurrent(this)) {
            close();
            return;
        }
        UpstreamResponseHead head = mDialect.decodeResponse(response);
        mResponse = response;
        mHead = head;
        String requestId = mRequest.head().requestId();
        boolean wrongRequestId =
                head.requestId().map(id -> !id.equals(requestId)).orElse(head.success());
        if (wrongRequestId) {
            close();
            mOwner.attemptFailed(PlacementOutcome.BROKEN, "", true);
        } else if (head.notExecuted()) {
            call().discard();
            PlacementOutcome outcome =
                    head.misdirected() ? PlacementOutcome.MISDIRECTED : PlacementOutcome.FULL;
            mOwner.attemptFailed(outcome, head.culprit(), false);
        } else {
            mStreaming = mRequest.route().streaming() && head.success();
        }
    }

    @Override
    public void bodyPartReceived(byte[] part) {
        if (!mOwner.isCurrent(this)) {
            return;
        }
        mLastPartNanos = mOwner.nowNanos();
        if (!mStreaming) {
            mFirstPartReceived = true;
            mBody.write(part, 0, part.length);
            return;
        }
        for (EventStreamSplitter.Event event : mEventSplitter.feed(part)) {
            if (mOwner.isCurrent(this)) {
                boolean first = !mFirstPartReceived;
                mFirstPartReceived = true;
                mOwner.eventReceived(Objects.requireNonNull(mResponse), event, first);
            }
        }
        if (mEventSplitter.limitExceeded() && mOwner.isCurrent(this)) {
            close();
            mOwner.attemptFailed(PlacementOutcome.BROKEN, "", true);
        }
    }

    @Override
    public void bodyCompleted() {
        if (!mOwner.isCurrent(this)) {
            return;
        }
        if (!mStreaming) {
            Bytes body = Bytes.copyOf(mBody.toByteArray());
            mOwner.responseCompleted(
                    Objects.requireNonNull(mResponse), Objects.requireNonNull(mHead), body);
        } else if (mFirstPartReceived && !mEventSplitter.hasPartialEvent()) {
            mOwner.streamCompleted();
        } else {
            mOwner.attemptFailed(PlacementOutcome.BROKEN, "", true);
        }
    }

    @Override
    public void callFailed(boolean sent, Throwable problem) {
        if (mOwner.isCurrent(this)) {
            mOwner.connectionFailed(sent, problem);
        }
    }

    private UpstreamCall call() {
        return Objects.requireNonNull(mCall);
    }
}
