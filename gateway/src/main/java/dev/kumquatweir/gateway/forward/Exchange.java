package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementGrant;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import dev.kumquatweir.policy.placement.PlacementRefusal;
import dev.kumquatweir.policy.placement.PlacementRequest;
import dev.kumquatweir.policy.stop.StopAction;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.HashSet;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Forwards one caller's request: requests a placement, sends the request to the granted upstream,
 * relays the response, and resends where {@link ResendPolicy} allows it. Registered with the {@link
 * ExchangeRegistry} until it ends. Confined to the I/O thread.
 */
final class Exchange implements Attempt.Owner {
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int SERVER_ERROR = 500;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 300;

    /** Another instance takes the request at once. */
    private static final OptionalLong RETRY_ELSEWHERE = OptionalLong.of(50);

    private final ForwardingPorts mPorts;
    private final ForwardingMetrics mMetrics;
    private final ForwardedRequest mRequest;
    private final CallerResponse mCallerResponse;
    private final StopAdmission mStops;
    private final Consumer<Exchange> mEndListener;
    private final ExchangeLog mLog;
    private final AttemptFactory mAttempts;
    private final EventGaps mEventGaps;
    private final EventSequence mEvents;
    private final Takeover mTakeover;
    private final Set<UpstreamId> mTriedUpstreams = new HashSet<>();
    private @Nullable PlacementKey mPlacementKey;
    private @Nullable PlacementGrant mGrant;
    private @Nullable ReservedMemory mMemory;
    private @Nullable Attempt mAttempt;
    private int mSends;
    private int mPossibleExecutions;
    private long mPlacementRequestedNanos;
    private long mSentNanos;
    private long mFirstEventMillis = -1;
    private long mLastEventNanos;
    private boolean mDone;

    /**
     * @param endListener called exactly once, when the exchange has ended
     */
    Exchange(
            ForwardingPorts ports,
            ForwardingMetrics metrics,
            ForwardedRequest request,
            CallerResponse callerResponse,
            StopAdmission stops,
            Consumer<Exchange> endListener) {
        mPorts = ports;
        mMetrics = metrics;
        mRequest = request;
        mCallerResponse = callerResponse;
        mStops = stops;
        mEndListener = endListener;
        mLog = new ExchangeLog(request);
        mAttempts = new AttemptFactory(ports, request);
        mEventGaps = new EventGaps(ports.placement(), metrics, mLog, request.route());
        mTakeover = new Takeover(ports, mLog, () -> isSilent(nowNanos()), this::takeOver);
        mEvents = new EventSequence(request.head().lastEventId());
    }

    /** Returns the size of the request's body. */
    int bodyBytes() {
        return mRequest.body().size();
    }

    // Life cycle.

    void start() {
        if (!endForStop(nowNanos())) {
            requestPlacement();
        }
    }

    /** Cancels the request because its caller has disconnected. */
    void callerDisconnected() {
        if (!mDone) {
            end("caller_gone", PlacementOutcome.CANCELLED);
        }
    }

    /** Checks the deadline, a planned stop and the silence limit, and renews reservations. */
    void tick(long nowNanos) {
        if (mDone) {
            return;
        }
        ReservedMemory memory = mMemory;
        if (memory != null) {
            memory.tick(nowNanos);
        }
        if (nowNanos - mRequest.deadlineNanos() >= 0) {
            handleTimeout();
            return;
        }
        if (endForStop(nowNanos)) {
            return;
        }
        if (!isSilent(nowNanos)) {
            mTakeover.cancel();
        } else if (mayResend(mPossibleExecutions + 1, true)
                && mStops.leavesTimeToResend(mRequest, mCallerResponse.isStarted(), nowNanos)) {
            mTakeover.request(mPlacementKey, key -> takeoverRequest(key, nowNanos), nowNanos);
        } else {
            mTakeover.recordSilence(mPlacementKey);
        }
    }

    /** Returns the placement request for an upstream that replaces the silent one. */
    private PlacementRequest takeoverRequest(PlacementKey key, long nowNanos) {
        Set<UpstreamId> excluded = new HashSet<>(mTriedUpstreams);
        Optional.ofNullable(mGrant).map(PlacementGrant::upstream).ifPresent(excluded::add);
        return placementRequest(key, excluded, true, nowNanos);
    }

    private void takeOver(PlacementAction.Grant grant) {
        Objects.requireNonNull(mAttempt).close();
        recordFailure(PlacementOutcome.SILENT, "", true, true);
        mPlacementKey = grant.key();
        mPlacementRequestedNanos = nowNanos();
        handleGrant(grant.grant());
    }

    private boolean isSilent(long nowNanos) {
        Attempt attempt = mAttempt;
        return !mDone && attempt != null && attempt.exceedsSilenceLimit(nowNanos);
    }

    /** Ends the request if a planned stop leaves no time for it. Returns whether it has ended. */
    private boolean endForStop(long nowNanos) {
        StopAction action =
                mStops.decide(
                        mRequest,
                        mAttempt != null,
                        mPossibleExecutions > 0,
                        mCallerResponse.isStarted(),
                        nowNanos);
        switch (action) {
            case CONTINUE -> {}
            case REJECT -> fail(UNAVAILABLE, RETRY_ELSEWHERE, mStops.reason("stopping"));
            case FAIL -> fail(BAD_GATEWAY, OptionalLong.empty(), mStops.reason("stopped"));
            case ABORT -> abort(mStops.reason("stopped"));
        }
        return action != StopAction.CONTINUE;
    }

    // Placement.

    private void requestPlacement() {
        long nowNanos = nowNanos();
        PlacementKey key = mPorts.placement().newKey();
        mPlacementKey = key;
        mGrant = null;
        mPlacementRequestedNanos = nowNanos;
        mPorts.placement()
                .submit(
                        placementRequest(key, mTriedUpstreams, mSends > 0, nowNanos),
                        action -> handlePlacement(key, action));
    }

    private PlacementRequest placementRequest(
            PlacementKey key, Set<UpstreamId> excluded, boolean retry, long nowNanos) {
        return mCallerResponse.isStarted()
                ? PlacementRequests.resumed(
                        key, mRequest, mPorts, excluded, mLastEventNanos, nowNanos)
                : PlacementRequests.first(key, mRequest, mPorts, excluded, retry, nowNanos);
    }

    private void handlePlacement(PlacementKey key, PlacementAction action) {
        if (mDone || !key.equals(mPlacementKey)) {
            return;
        }
        switch (action) {
            case PlacementAction.Grant grant -> handleGrant(grant.grant());
            case PlacementAction.Reject reject -> handleRejection(reject);
        }
    }

    private void handleGrant(PlacementGrant grant) {
        long nowNanos = nowNanos();
        mGrant = grant;
        long waitedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - mPlacementRequestedNanos);
        mMetrics.recordPlacementWait(waitedMillis);
        mLog.placed(grant, mSends + 1, waitedMillis);
        if (!mPorts.state().acceptsRequests(grant.upstream())) {
            // The upstream has left, but the scheduler had not been notified when it decided.
            endPlacement(PlacementOutcome.CANCELLED, "");
            mTriedUpstreams.add(grant.upstream());
            requestPlacement();
            return;
        }
        ReservedMemory memory =
                new ReservedMemory(
                        mPorts.reservations(),
                        mRequest.head().requestId() + "-" + mSends,
                        grant.helpers());
        mSends++;
        mMemory = memory;
        if (memory.isNeeded()) {
            memory.reserve(nowNanos, reserved -> handleReservation(memory, grant, reserved));
        } else {
            send(memory, grant);
        }
    }

    private void handleReservation(ReservedMemory memory, PlacementGrant grant, boolean reserved) {
        if (mDone || memory != mMemory) {
            memory.release();
        } else if (reserved) {
            send(memory, grant);
        } else {
            memory.release();
            attemptFailed(PlacementOutcome.FULL, "", false);
        }
    }

    private void handleRejection(PlacementAction.Reject reject) {
        mPlacementKey = null;
        mLog.rejected(reject, mSends, ageMillis());
        if (mCallerResponse.isStarted()) {
            abort("no_upstream_to_resume");
        } else if (mPossibleExecutions > 0) {
            fail(BAD_GATEWAY, OptionalLong.empty(), "upstream_failed");
        } else if (reject.reason() == PlacementRefusal.QUARANTINED) {
            fail(UNAVAILABLE, OptionalLong.empty(), "quarantined");
        } else {
            OptionalLong retryAfter = OptionalLong.of(reject.retryAfterMillis());
            fail(UNAVAILABLE, retryAfter, reject.reason().name().toLowerCase(Locale.ROOT));
        }
    }

    // Sending.

    private void send(ReservedMemory memory, PlacementGrant grant) {
        long nowNanos = nowNanos();
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(mRequest.deadlineNanos() - nowNanos);
        if (remainingMillis <= 0) {
            handleTimeout();
            return;
        }
        Attempt attempt =
                mAttempts.create(
                        grant, memory, this, mEvents, mCallerResponse.isStarted(), nowNanos);
        mAttempt = attempt;
        mSentNanos = nowNanos;
        mStops.recordSend(mRequest, nowNanos);
        attempt.send();
    }

    @Override
    public boolean isCurrent(Attempt attempt) {
        return mAttempt == attempt;
    }

    @Override
    public long nowNanos() {
        return mPorts.clocks().nowNanos();
    }

    @Override
    public void eventReceived(
            StreamingHttpResponse head, EventStreamSplitter.Event event, boolean first) {
        long nowNanos = nowNanos();
        if (first) {
            mEventGaps.recordFirst(mPlacementKey, mGrant, mSentNanos, ageMillis(), nowNanos);
        }
        if (mCallerResponse.isStarted()) {
            mEventGaps.record(mPlacementKey, mGrant, nowNanos - mLastEventNanos);
        } else {
            mFirstEventMillis = ageMillis();
            mMetrics.recordFirstEvent(mFirstEventMillis);
            mCallerResponse.startStream(head, this::callerDisconnected);
        }
        mEventGaps.countEvent();
        mLastEventNanos = nowNanos;
        if (!mCallerResponse.sendEvent(event.content())) {
            abort("caller_too_slow");
        }
    }

    @Override
    public void streamCompleted(StreamingHttpResponse head) {
        mAttempt = null;
        if (!mCallerResponse.isStarted()) {
            // The caller resumes a stream and has all its events already.
            mCallerResponse.startStream(head, this::callerDisconnected);
        }
        mCallerResponse.complete();
        end("answered", PlacementOutcome.ANSWERED);
    }

    @Override
    public void responseCompleted(
            StreamingHttpResponse response, UpstreamResponseHead head, Bytes body) {
        boolean error = head.status() >= SERVER_ERROR;
        if (error && mayResend(mPossibleExecutions + 1, true)) {
            attemptFailed(PlacementOutcome.UPSTREAM_ERROR, head.culprit(), true);
            return;
        }
        mAttempt = null;
        if (mCallerResponse.isStarted()) {
            endPlacement(PlacementOutcome.UPSTREAM_ERROR, head.culprit());
            abort("upstream_error");
            return;
        }
        mMetrics.recordFirstEvent(ageMillis());
        mCallerResponse.sendFull(response, body);
        end(
                error ? "upstream_error" : "answered",
                error ? PlacementOutcome.UPSTREAM_ERROR : PlacementOutcome.ANSWERED);
    }

    private boolean mayResend(int possibleExecutions, boolean lastMayHaveExecuted) {
        return mEvents.canResume()
                && ResendPolicy.mayResend(
                        mRequest.route().repeatability(),
                        possibleExecutions,
                        mSends,
                        mRequest.route().maximumUpstreams(),
                        lastMayHaveExecuted);
    }

    @Override
    public void connectionFailed(boolean sent, Throwable exception) {
        mLog.connectionFailed(Optional.ofNullable(mGrant), sent, exception);
        // A failed connect says nothing about the upstream if this instance is cut off.
        PlacementOutcome notConnected =
                mPorts.reach().cutOff()
                        ? PlacementOutcome.CANCELLED
                        : PlacementOutcome.NOT_CONNECTED;
        PlacementOutcome outcome = sent ? PlacementOutcome.BROKEN : notConnected;
        attemptFailed(outcome, "", sent);
    }

    @Override
    public void attemptFailed(PlacementOutcome outcome, String culprit, boolean mayHaveExecuted) {
        if (mDone || mGrant == null) {
            return;
        }
        boolean canHold = outcome != PlacementOutcome.CANCELLED || !mayHaveExecuted;
        int executions = mPossibleExecutions + (mayHaveExecuted ? 1 : 0);
        boolean resend = canHold && mayResend(executions, mayHaveExecuted);
        recordFailure(outcome, culprit, mayHaveExecuted, resend);
        if (resend) {
            start();
        } else if (mCallerResponse.isStarted()) {
            abort("upstream_failed");
        } else if (mPossibleExecutions > 0) {
            fail(BAD_GATEWAY, OptionalLong.empty(), "upstream_failed");
        } else {
            fail(UNAVAILABLE, OptionalLong.of(DEFAULT_RETRY_AFTER_MILLIS), "no_upstream");
        }
    }

    private void recordFailure(
            PlacementOutcome outcome, String culprit, boolean mayHaveExecuted, boolean resend) {
        PlacementGrant grant = Objects.requireNonNull(mGrant);
        mTakeover.cancel();
        mAttempt = null;
        mPossibleExecutions += mayHaveExecuted ? 1 : 0;
        endPlacement(outcome, culprit);
        mLog.sendFailed(grant, outcome, culprit, mSends, mPossibleExecutions, resend, ageMillis());
        if (resend) {
            mMetrics.countResent(outcome.name().toLowerCase(Locale.ROOT));
            mTriedUpstreams.add(grant.upstream());
        }
    }

    // Completion.

    private void handleTimeout() {
        boolean sent = mAttempt != null || mPossibleExecutions > 0;
        if (mCallerResponse.isStarted()) {
            abort("timeout");
        } else if (sent) {
            fail(GATEWAY_TIMEOUT, OptionalLong.empty(), "timeout");
        } else {
            fail(UNAVAILABLE, OptionalLong.of(DEFAULT_RETRY_AFTER_MILLIS), "timeout");
        }
    }

    private void fail(int status, OptionalLong retryAfterMillis, String reason) {
        mCallerResponse.sendError(status, retryAfterMillis, reason);
        end(reason, PlacementOutcome.CANCELLED);
    }

    private void abort(String reason) {
        mCallerResponse.abort(reason);
        end("aborted_" + reason, PlacementOutcome.CANCELLED);
    }

    private void end(String reason, PlacementOutcome outcome) {
        mDone = true;
        mTakeover.cancel();
        Attempt attempt = mAttempt;
        mAttempt = null;
        if (attempt != null) {
            attempt.close();
        }
        endPlacement(outcome, "");
        if (outcome == PlacementOutcome.ANSWERED) {
            mStops.recordAnswer(mRequest, mSentNanos, nowNanos());
        }
        mMetrics.countEnded(reason);
        mLog.ended(reason, mSends, mEvents.lastId(), mFirstEventMillis, ageMillis());
        mCallerResponse.forgetRequest();
        mEndListener.accept(this);
    }

    private void endPlacement(PlacementOutcome outcome, String culprit) {
        PlacementKey key = mPlacementKey;
        mPlacementKey = null;
        Optional.ofNullable(mMemory).ifPresent(ReservedMemory::release);
        mMemory = null;
        if (key == null) {
            return;
        }
        if (mGrant == null) {
            mPorts.placement().withdraw(key);
        } else {
            mPorts.placement().ended(key, outcome, culprit, mEventGaps.eventCount());
        }
    }

    private long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos() - mRequest.arrivedNanos());
    }
}
