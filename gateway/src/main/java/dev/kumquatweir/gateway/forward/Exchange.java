package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.Route;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementGrant;
import dev.kumquatweir.policy.placement.PlacementHelper;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import dev.kumquatweir.policy.placement.PlacementRefusal;
import dev.kumquatweir.policy.placement.PlacementRequest;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One caller's request on its way: asks for an upstream, sends, relays the answer, and sends again
 * where that is allowed. Used on the I/O thread.
 */
final class Exchange implements Attempt.Owner {
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int SERVER_ERROR = 500;
    private static final long SHORT_RETRY_MILLIS = 300;

    /** Expected share of the output that is left when a stream goes on elsewhere. */
    private static final double RESUMED_OUTPUT = 0.5;

    private final ForwardingPorts mPorts;
    private final ForwardingMetrics mMetrics;
    private final ForwardedRequest mRequest;
    private final CallerAnswer mAnswer;
    private final Consumer mOnDone;
    private final ExchangeLog mLog;
    private final Set<UpstreamId> mTried = new HashSet<>();
    private @Nullable PlacementKey mKey;
    private @Nullable PlacementGrant mGrant;
    private @Nullable ReservedMemory mMemory;
    private @Nullable Attempt mAttempt;
    private int mSends;
    private int mMayHaveRun;
    private long mAskedNanos;
    private long mSentNanos;
    private long mFirstMillis = -1;
    private long mLastEventId;
    private long mLastEventNanos;
    private boolean mDelayed;
    private boolean mDone;

    /** Takes an exchange that has ended. */
    interface Consumer {
        /** Called once. */
        void done(Exchange exchange);
    }

    Exchange(
            ForwardingPorts ports,
            ForwardingMetrics metrics,
            ForwardedRequest request,
            CallerAnswer answer,
            Consumer onDone) {
        mPorts = ports;
        mMetrics = metrics;
        mRequest = request;
        mAnswer = answer;
        mOnDone = onDone;
        mLog = new ExchangeLog(request);
        mLastEventId = request.head().lastEventId();
    }

    // Life-cycle.

    void start() {
        ask();
    }

    /** Ends the request: its caller has left. */
    void callerGone() {
        if (!mDone) {
            end("caller_gone", PlacementOutcome.CANCELLED);
        }
    }

    /** Checks the times; due every few tens of milliseconds. */
    void tick(long nowNanos) {
        if (mDone) {
            return;
        }
        ReservedMemory memory = mMemory;
        if (memory != null) {
            memory.tick(nowNanos);
        }
        if (nowNanos - mRequest.deadlineNanos() >= 0) {
            timedOut();
            return;
        }
        Attempt attempt = mAttempt;
        if (attempt != null && attempt.silent(nowNanos)) {
            attempt.close();
            attemptFailed(PlacementOutcome.SILENT, "", true);
        }
    }

    // Placement.

    private void ask() {
        long nowNanos = now();
        PlacementKey key = mPorts.placement().newKey();
        mKey = key;
        mGrant = null;
        mAskedNanos = nowNanos;
        mPorts.placement().ask(placementRequest(key, nowNanos), action -> placed(key, action));
    }

    private PlacementRequest placementRequest(PlacementKey key, long nowNanos) {
        Route route = mRequest.route();
        CallerHead head = mRequest.head();
        boolean resumed = mAnswer.begun();
        long patience = millis(mPorts.dialect().patienceMillis(route));
        long target =
                resumed
                        ? nowNanos + millis(route.targetGapMillis())
                        : mRequest.firstArrivedNanos() + millis(route.targetLatencyMillis());
        long latest = (resumed ? mLastEventNanos : mRequest.arrivedNanos()) + patience;
        double output = head.outputTokens() * (resumed ? RESUMED_OUTPUT : 1);
        return PlacementRequest.builder(key, head.requestId(), mRequest.service())
                .contentHash(mRequest.contentHash())
                .times(target, latest, mRequest.deadlineNanos())
                .generation(head.promptTokens(), (long) output, route.targetGapMillis())
                .priority(mRequest.priority())
                .domain(mPorts.view().domain())
                .previousAttempts(mTried, mSends > 0)
                .build();
    }

    private void placed(PlacementKey key, PlacementAction action) {
        if (mDone || !key.equals(mKey)) {
            return;
        }
        switch (action) {
            case PlacementAction.Grant grant -> granted(grant.grant());
            case PlacementAction.Reject reject -> rejected(reject);
        }
    }

    private void granted(PlacementGrant grant) {
        long nowNanos = now();
        mGrant = grant;
        long waited = TimeUnit.NANOSECONDS.toMillis(nowNanos - mAskedNanos);
        mMetrics.waited(waited);
        mLog.placed(grant, mSends + 1, waited);
        if (!mPorts.view().takesWork(grant.upstream())) {
            // It has left since; the scheduler had not heard yet.
            endPlacement(PlacementOutcome.CANCELLED, "");
            mTried.add(grant.upstream());
            ask();
            return;
        }
        ReservedMemory memory =
                new ReservedMemory(
                        mPorts.reservations(),
                        mRequest.head().requestId() + "-" + mSends,
                        grant.helpers());
        mSends++;
        mMemory = memory;
        if (memory.needed()) {
            memory.reserve(nowNanos, held -> reserved(memory, grant, held));
        } else {
            send(memory, grant);
        }
    }

    private void reserved(ReservedMemory memory, PlacementGrant grant, boolean held) {
        if (mDone || memory != mMemory) {
            memory.release();
        } else if (held) {
            send(memory, grant);
        } else {
            memory.release();
            attemptFailed(PlacementOutcome.FULL, "", false);
        }
    }

    private void rejected(PlacementAction.Reject reject) {
        mKey = null;
        mLog.rejected(reject, mSends, ageMillis());
        if (mAnswer.begun()) {
            abort("no_upstream_to_resume");
        } else if (mMayHaveRun > 0) {
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
        long nowNanos = now();
        long remaining = TimeUnit.NANOSECONDS.toMillis(mRequest.deadlineNanos() - nowNanos);
        if (remaining <= 0) {
            timedOut();
            return;
        }
        boolean once = !mRequest.route().repeatability().allowsReexecution();
        // An idle connection that the upstream has just closed would leave the outcome unknown.
        StreamingHttpClient client =
                once
                        ? mPorts.clients().newClient(grant.address())
                        : mPorts.clients().of(grant.address());
        List<HelperAddress> helpers =
                grant.helpers().stream().map(helper -> address(memory, helper)).toList();
        UpstreamOrder order =
                new UpstreamOrder(
                        grant.upstream(),
                        remaining,
                        mRequest.team().map(team -> team.name()),
                        mAnswer.begun() ? mLastEventId : -1,
                        helpers);
        StreamingHttpRequest request = UpstreamRequests.make(client, mRequest, order, mPorts);
        Attempt attempt =
                new Attempt(mRequest, mPorts.dialect(), this, grant.expectedMillis(), nowNanos);
        mAttempt = attempt;
        mSentNanos = nowNanos;
        attempt.send(client, once, request);
    }

    private static HelperAddress address(ReservedMemory memory, PlacementHelper helper) {
        return new HelperAddress(helper.address(), memory.nameFor(helper));
    }

    @Override
    public boolean isCurrent(Attempt attempt) {
        return mAttempt == attempt;
    }

    @Override
    public long nowNanos() {
        return now();
    }

    @Override
    public void event(StreamingHttpResponse head, EventCutter.Event event, boolean first) {
        boolean known = event.id() != EventCutter.NO_ID && event.id() <= mLastEventId;
        if (known) {
            return;
        }
        long nowNanos = now();
        if (first) {
            started();
        }
        if (mAnswer.begun()) {
            noteGap(nowNanos);
        } else {
            mFirstMillis = ageMillis();
            mMetrics.first(mFirstMillis);
            mAnswer.beginStream(head, this::callerGone);
        }
        mLastEventNanos = nowNanos;
        if (event.id() != EventCutter.NO_ID) {
            mLastEventId = event.id();
        }
        mAnswer.event(event.content());
    }

    private void started() {
        PlacementKey key = mKey;
        PlacementGrant grant = mGrant;
        if (key != null && grant != null) {
            mPorts.placement().started(key);
            mLog.started(grant, TimeUnit.NANOSECONDS.toMillis(now() - mSentNanos), ageMillis());
        }
    }

    private void noteGap(long nowNanos) {
        long gap = TimeUnit.NANOSECONDS.toMillis(nowNanos - mLastEventNanos);
        mMetrics.gap(gap);
        long target = mRequest.route().targetGapMillis();
        PlacementKey key = mKey;
        if (target > 0 && gap > target && !mDelayed && key != null) {
            mDelayed = true;
            mPorts.placement().delayed(key, gap);
            mLog.delayed(Optional.ofNullable(mGrant), gap);
        }
    }

    @Override
    public void streamComplete() {
        mAttempt = null;
        mAnswer.complete();
        end("answered", PlacementOutcome.ANSWERED);
    }

    @Override
    public void whole(StreamingHttpResponse response, UpstreamHead head, Bytes body) {
        boolean error = head.status() >= SERVER_ERROR;
        if (error && mayRunAgain()) {
            attemptFailed(PlacementOutcome.UPSTREAM_ERROR, head.culprit(), true);
            return;
        }
        mAttempt = null;
        if (mAnswer.begun()) {
            endPlacement(PlacementOutcome.UPSTREAM_ERROR, head.culprit());
            abort("upstream_error");
            return;
        }
        mMetrics.first(ageMillis());
        mAnswer.whole(response, body);
        end(
                error ? "upstream_error" : "answered",
                error ? PlacementOutcome.UPSTREAM_ERROR : PlacementOutcome.ANSWERED);
    }

    private boolean mayRunAgain() {
        return ResendPolicy.sendAgain(
                mRequest.route().repeatability(),
                mMayHaveRun + 1,
                mSends,
                mRequest.route().maximumUpstreams(),
                true);
    }

    @Override
    public void connectionFailed(boolean sent, Throwable problem) {
        mLog.connectionFailed(Optional.ofNullable(mGrant), sent, problem);
        PlacementOutcome outcome = sent ? PlacementOutcome.BROKEN : PlacementOutcome.NOT_CONNECTED;
        attemptFailed(outcome, "", sent);
    }

    @Override
    public void attemptFailed(PlacementOutcome outcome, String culprit, boolean mayHaveRun) {
        PlacementGrant grant = mGrant;
        if (mDone || grant == null) {
            return;
        }
        mAttempt = null;
        mMayHaveRun += mayHaveRun ? 1 : 0;
        endPlacement(outcome, culprit);
        boolean again =
                ResendPolicy.sendAgain(
                        mRequest.route().repeatability(),
                        mMayHaveRun,
                        mSends,
                        mRequest.route().maximumUpstreams(),
                        mayHaveRun);
        mLog.sendFailed(grant, outcome, culprit, mSends, mMayHaveRun, again, ageMillis());
        if (again) {
            mMetrics.resent(outcome.name().toLowerCase(Locale.ROOT));
            mTried.add(grant.upstream());
            ask();
        } else if (mAnswer.begun()) {
            abort("upstream_failed");
        } else if (mMayHaveRun > 0) {
            fail(BAD_GATEWAY, OptionalLong.empty(), "upstream_failed");
        } else {
            fail(UNAVAILABLE, OptionalLong.of(SHORT_RETRY_MILLIS), "no_upstream");
        }
    }

    // Ends.

    private void timedOut() {
        boolean sent = mAttempt != null || mMayHaveRun > 0;
        if (mAnswer.begun()) {
            abort("timeout");
        } else if (sent) {
            fail(GATEWAY_TIMEOUT, OptionalLong.empty(), "timeout");
        } else {
            fail(UNAVAILABLE, OptionalLong.of(SHORT_RETRY_MILLIS), "timeout");
        }
    }

    private void fail(int status, OptionalLong retryAfterMillis, String reason) {
        mAnswer.failed(status, retryAfterMillis, reason);
        end(reason, PlacementOutcome.CANCELLED);
    }

    private void abort(String reason) {
        mAnswer.abort(reason);
        end("aborted_" + reason, PlacementOutcome.CANCELLED);
    }

    private void end(String reason, PlacementOutcome outcome) {
        mDone = true;
        Attempt attempt = mAttempt;
        mAttempt = null;
        if (attempt != null) {
            attempt.close();
        }
        endPlacement(outcome, "");
        mMetrics.ended(reason);
        mLog.ended(reason, mSends, mLastEventId, mFirstMillis, ageMillis());
        mOnDone.done(this);
    }

    private void endPlacement(PlacementOutcome outcome, String culprit) {
        PlacementKey key = mKey;
        mKey = null;
        ReservedMemory memory = mMemory;
        mMemory = null;
        if (memory != null) {
            memory.release();
        }
        if (key == null) {
            return;
        }
        if (mGrant == null) {
            mPorts.placement().withdraw(key);
        } else {
            mPorts.placement().ended(key, outcome, culprit);
        }
    }

    // Helpers.

    private long now() {
        return mPorts.clocks().nowNanos();
    }

    private long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(now() - mRequest.arrivedNanos());
    }

    private static long millis(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }
}
