package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.gateway.http.ResponseFraming;
import dev.kumquatweir.policy.placement.PlacementGrant;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One send of a request to one upstream. Checks the response, splits a stream into events and
 * reports to its {@link Owner}, as long as that still waits for this attempt. Confined to the I/O
 * thread.
 */
final class Attempt implements UpstreamCall.Listener {
    /** Receives the events of an attempt; implemented by the request that the attempt is for. */
    interface Owner {
        /**
         * Returns whether the request still waits for this attempt. If not, the attempt reports
         * nothing more.
         */
        boolean isCurrent(Attempt attempt);

        /** Returns the current monotonic time. */
        long nowNanos();

        /**
         * Handles an event of a streamed response.
         *
         * @param head status and headers of the response
         * @param event the event
         * @param first whether it is the first event of this attempt
         */
        void eventReceived(
                StreamingHttpResponse head, EventStreamSplitter.Event event, boolean first);

        /**
         * Handles the end of a complete stream.
         *
         * @param head status and headers of the response
         */
        void streamCompleted(StreamingHttpResponse head);

        /** Handles a complete response that is not streamed. */
        void responseCompleted(
                StreamingHttpResponse response, UpstreamResponseHead head, Bytes body);

        /**
         * Handles the failure or loss of the connection.
         *
         * @param sent whether bytes of the request may have reached the upstream
         * @param exception the cause
         */
        void connectionFailed(boolean sent, Throwable exception);

        /**
         * Handles any other failure of the attempt. {@link PlacementOutcome#CANCELLED} after a
         * possible execution is a response that this instance can't hold.
         *
         * @param outcome kind of the failure
         * @param culprit address of the upstream at fault, empty if the response names none
         * @param mayHaveExecuted whether the upstream may have executed the request
         */
        void attemptFailed(PlacementOutcome outcome, String culprit, boolean mayHaveExecuted);
    }

    private static final EventLog LOG = EventLog.of(Attempt.class);
    private static final String EVENT_STREAM = "text/event-stream";

    private final ForwardedRequest mRequest;
    private final RequestDialect mDialect;
    private final ForwardingState mState;
    private final PlacementPort mPlacement;
    private final ReachMonitor mReach;
    private final UpstreamId mUpstream;
    private final Owner mOwner;
    private final EventSequence mEvents;

    /** Whether the upstream is asked to resume a stream after an event. */
    private final boolean mResumed;

    private final long mSentNanos;
    private final long mFirstEventLimitMillis;
    private final EventStreamSplitter mEventSplitter = new EventStreamSplitter();
    private final ResponseCollector mBody;
    private @Nullable UpstreamCall mCall;
    private @Nullable StreamingHttpResponse mResponse;
    private @Nullable UpstreamResponseHead mHead;
    private boolean mStreaming;

    /** Set by the first body part, or in a streamed response by the first whole event. */
    private boolean mResponseStarted;

    /** Set by the first event that is more than a comment. */
    private boolean mEventReceived;

    private long mLastPartNanos;

    /**
     * Creates an attempt that is not yet sent.
     *
     * @param events the events of the stream, for which this attempt has been started
     * @param grant the upstream, and the expected time to its first event or, if not streamed, to
     *     its response
     */
    Attempt(
            ForwardedRequest request,
            ForwardingPorts ports,
            Owner owner,
            EventSequence events,
            PlacementGrant grant,
            long nowNanos) {
        mRequest = request;
        mDialect = ports.dialect();
        mState = ports.state();
        mPlacement = ports.placement();
        mReach = ports.reach();
        mUpstream = grant.upstream();
        mOwner = owner;
        mBody = new ResponseCollector(ports.responseMemory());
        mEvents = events;
        mResumed = events.lastId() >= 0;
        mSentNanos = nowNanos;
        mLastPartNanos = nowNanos;
        mFirstEventLimitMillis =
                SilenceLimits.firstEventLimitMillis(request.route(), grant.expectedMillis());
    }

    /**
     * Prepares the call of the upstream.
     *
     * @param ownsClient whether the client is closed at the end of the call
     */
    void prepare(StreamingHttpClient client, boolean ownsClient, StreamingHttpRequest request) {
        mCall = new UpstreamCall(client, ownsClient, request, this);
    }

    void send() {
        mReach.sent(this, mSentNanos);
        call().send();
    }

    /** Closes the connection, so that the upstream cancels the request. */
    void close() {
        mReach.ended(this);
        mBody.release();
        call().close();
    }

    /** Returns whether the upstream has sent nothing for longer than {@link SilenceLimits}. */
    boolean exceedsSilenceLimit(long nowNanos) {
        long limitMillis =
                mResponseStarted
                        ? SilenceLimits.eventGapLimitMillis(mRequest.route())
                        : mFirstEventLimitMillis;
        long lastActivityNanos = mResponseStarted ? mLastPartNanos : mSentNanos;
        return limitMillis != Long.MAX_VALUE
                && nowNanos - lastActivityNanos > TimeUnit.MILLISECONDS.toNanos(limitMillis);
    }

    @Override
    public void headReceived(StreamingHttpResponse response, boolean connectionReused) {
        mReach.received(this, mOwner.nowNanos());
        if (!mOwner.isCurrent(this)) {
            close();
            return;
        }
        UpstreamResponseHead head = mDialect.decodeResponse(response);
        mResponse = response;
        mHead = head;
        String requestId = mRequest.head().requestId();
        ResponseEvidence.Verdict verdict = ResponseEvidence.of(head, requestId, connectionReused);
        if (verdict == ResponseEvidence.Verdict.UNPROVEN) {
            LOG.warn(
                    "response_unproven",
                    "request",
                    requestId,
                    "upstream",
                    mUpstream,
                    "status",
                    head.status(),
                    "response_request",
                    head.requestId().orElse(""),
                    "connection_reused",
                    connectionReused);
            giveUp(PlacementOutcome.UNPROVEN);
            return;
        }
        if (!head.misdirected()) {
            mState.recordResponse(mUpstream, head, mOwner.nowNanos());
            mPlacement.recordLimit(mUpstream, head.limit(), mSentNanos);
        }
        if (verdict == ResponseEvidence.Verdict.NOT_EXECUTED) {
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
        mReach.received(this, mLastPartNanos);
        if (!mStreaming) {
            mResponseStarted = true;
            collect(part);
            return;
        }
        for (EventStreamSplitter.Event event : mEventSplitter.feed(part)) {
            if (mOwner.isCurrent(this)) {
                boolean first = !mResponseStarted;
                mResponseStarted = true;
                handleEvent(event, first);
            }
        }
        if (mEventSplitter.malformed() && mOwner.isCurrent(this)) {
            giveUp(PlacementOutcome.BROKEN);
        }
    }

    private void handleEvent(EventStreamSplitter.Event event, boolean first) {
        mEventReceived |= event.hasData() || event.id() != EventStreamSplitter.NO_ID;
        switch (mEvents.next(event)) {
            case FORWARD -> mOwner.eventReceived(Objects.requireNonNull(mResponse), event, first);
            case SKIP -> {}
            case REJECT -> giveUp(PlacementOutcome.BROKEN);
        }
    }

    private void giveUp(PlacementOutcome outcome) {
        close();
        mOwner.attemptFailed(outcome, "", true);
    }

    @Override
    public void bodyCompleted() {
        if (!mOwner.isCurrent(this)) {
            mBody.release();
            return;
        }
        if (!mStreaming) {
            Bytes body = mBody.complete();
            mOwner.responseCompleted(
                    Objects.requireNonNull(mResponse), Objects.requireNonNull(mHead), body);
        } else if (!mEventSplitter.hasPartialEvent()
                && !mEvents.endsEarly()
                && (mEventReceived || hasNoEventsLeft())) {
            mOwner.streamCompleted(Objects.requireNonNull(mResponse));
        } else {
            mOwner.attemptFailed(PlacementOutcome.BROKEN, "", true);
        }
    }

    @Override
    public void callFailed(boolean sent, Throwable exception) {
        mReach.ended(this);
        if (!sent) {
            mReach.connectFailed(mUpstream, mOwner.nowNanos());
        }
        mBody.release();
        if (mOwner.isCurrent(this)) {
            mOwner.connectionFailed(sent, exception);
        }
    }

    /**
     * Returns whether a stream without events is complete: the upstream was asked for the events
     * after the last one that the caller has, and its response can't be mistaken. A response that
     * ends with its connection may have been cut before its first event, and one of another type is
     * no event stream.
     */
    private boolean hasNoEventsLeft() {
        StreamingHttpResponse response = Objects.requireNonNull(mResponse);
        CharSequence type = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
        return mResumed
                && !ResponseFraming.endsWithConnection(mRequest.method(), response)
                && (type == null
                        || type.toString().toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM));
    }

    private void collect(byte[] part) {
        int collectedBytes = mBody.size();
        boolean tooLarge = mBody.exceedsLimit(part);
        if (!mBody.append(part)) {
            LOG.warn(
                    tooLarge ? "response_too_large" : "response_memory_full",
                    "request",
                    mRequest.head().requestId(),
                    "collected_bytes",
                    collectedBytes);
            if (tooLarge) {
                giveUp(PlacementOutcome.BROKEN);
            } else {
                close();
                mOwner.attemptFailed(PlacementOutcome.CANCELLED, "", true);
            }
        }
    }

    private UpstreamCall call() {
        return Objects.requireNonNull(mCall);
    }
}
