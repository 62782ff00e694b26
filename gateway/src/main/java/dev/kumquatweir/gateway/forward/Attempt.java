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
        void event(StreamingHttpResponse head, EventCutter.Event event, boolean first);

        /** Takes the end of a whole stream. */
        void streamComplete();

        /** Takes a whole answer that is no stream. */
        void whole(StreamingHttpResponse response, UpstreamHead head, Bytes body);

        /** Takes the loss of the connection. */
        void connectionFailed(boolean sent, Throwable problem);

        /** Takes any other failure of the attempt. */
        void attemptFailed(PlacementOutcome outcome, String culprit, boolean mayHaveRun);
    }

    private final ForwardedRequest mRequest;
    private final RequestDialect mDialect;
    private final Owner mOwner;
    private final long mSentNanos;
    private final long mFirstLimitMillis;
    private final EventCutter mCutter = new EventCutter();
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private @Nullable UpstreamCall mCall;
    private @Nullable StreamingHttpResponse mResponse;
    private @Nullable UpstreamHead mHead;
    private boolean mStream;
    private boolean mFirstSeen;
    private long mLastNanos;

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
        mLastNanos = nowNanos;
        mFirstLimitMillis = SilenceLimits.firstMillis(request.route(), expectedMillis);
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
    boolean silent(long nowNanos) {
        long limit = mFirstSeen ? SilenceLimits.gapMillis(mRequest.route()) : mFirstLimitMillis;
        long since = mFirstSeen ? mLastNanos : mSentNanos;
        return limit != Long.MAX_VALUE && nowNanos - since > TimeUnit.MILLISECONDS.toNanos(limit);
    }

    @Override
    public void head(StreamingHttpResponse response) {
        if (!mOwner.isCurrent(this)) {
            close();
            return;
        }
        UpstreamHead head = mDialect.readUpstream(response);
        mResponse = response;
        mHead = head;
        String expected = mRequest.head().requestId();
        boolean foreign = head.requestId().map(id -> !id.equals(expected)).orElse(head.success());
        if (foreign) {
            close();
            mOwner.attemptFailed(PlacementOutcome.BROKEN, "", true);
        } else if (head.notRun()) {
            call().discard();
            PlacementOutcome outcome =
                    head.misdirected() ? PlacementOutcome.MISDIRECTED : PlacementOutcome.FULL;
            mOwner.attemptFailed(outcome, head.culprit(), false);
        } else {
            mStream = mRequest.route().streaming() && head.success();
        }
    }

    @Override
    public void part(byte[] part) {
        if (!mOwner.isCurrent(this)) {
            return;
        }
        mLastNanos = mOwner.nowNanos();
        if (!mStream) {
            mFirstSeen = true;
            mBody.write(part, 0, part.length);
            return;
        }
        for (EventCutter.Event event : mCutter.feed(part)) {
            if (mOwner.isCurrent(this)) {
                boolean first = !mFirstSeen;
                mFirstSeen = true;
                mOwner.event(Objects.requireNonNull(mResponse), event, first);
            }
        }
        if (mCutter.tooLong() && mOwner.isCurrent(this)) {
            close();
            mOwner.attemptFailed(PlacementOutcome.BROKEN, "", true);
        }
    }

    @Override
    public void ended() {
        if (!mOwner.isCurrent(this)) {
            return;
        }
        if (!mStream) {
            Bytes body = Bytes.copyOf(mBody.toByteArray());
            mOwner.whole(Objects.requireNonNull(mResponse), Objects.requireNonNull(mHead), body);
        } else if (mFirstSeen && !mCutter.unfinished()) {
            mOwner.streamComplete();
        } else {
            mOwner.attemptFailed(PlacementOutcome.BROKEN, "", true);
        }
    }

    @Override
    public void failed(boolean sent, Throwable problem) {
        if (mOwner.isCurrent(this)) {
            mOwner.connectionFailed(sent, problem);
        }
    }

    private UpstreamCall call() {
        return Objects.requireNonNull(mCall);
    }
}
