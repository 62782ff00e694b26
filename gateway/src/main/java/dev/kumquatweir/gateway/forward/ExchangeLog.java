package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementGrant;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import java.util.Optional;

/**
 * Writes the log events of one request, each with its request id and the values that led to the
 * decision. Failures are logged as warnings, which are dropped last when the log queue is full.
 */
final class ExchangeLog {
    private static final EventLog LOG = EventLog.of(Exchange.class);

    private final String mRequestId;
    private final String mRoute;

    ExchangeLog(ForwardedRequest request) {
        mRequestId = request.head().requestId();
        mRoute = request.route().name();
    }

    void placed(PlacementGrant grant, int send, long waitedMillis) {
        LOG.info(
                "request_placed",
                "request",
                mRequestId,
                "route",
                mRoute,
                "upstream",
                grant.upstream(),
                "helpers",
                grant.helpers().size(),
                "send",
                send,
                "waited_ms",
                waitedMillis,
                "expected_ms",
                grant.expectedMillis());
    }

    void rejected(PlacementAction.Reject reject, int sends, long ageMillis) {
        LOG.warn(
                "request_rejected",
                "request",
                mRequestId,
                "route",
                mRoute,
                "reason",
                reject.reason(),
                "sends",
                sends,
                "age_ms",
                ageMillis,
                "retry_after_ms",
                reject.retryAfterMillis());
    }

    /** Logs that a silent upstream keeps its request, since no other one can take it. */
    void takeoverRejected(PlacementAction.Reject reject) {
        LOG.info(
                "takeover_rejected",
                "request",
                mRequestId,
                "route",
                mRoute,
                "reason",
                reject.reason());
    }

    void connectionFailed(Optional<PlacementGrant> grant, boolean sent, Throwable exception) {
        LOG.warn(
                "connection_failed",
                "request",
                mRequestId,
                "upstream",
                grant.map(PlacementGrant::upstream),
                "sent",
                sent,
                "problem",
                exception.getClass().getSimpleName());
    }

    void sendFailed(
            PlacementGrant grant,
            PlacementOutcome outcome,
            String culprit,
            int sends,
            int possibleExecutions,
            boolean resend,
            long ageMillis) {
        LOG.warn(
                "send_failed",
                "request",
                mRequestId,
                "upstream",
                grant.upstream(),
                "outcome",
                outcome,
                "culprit",
                culprit,
                "send",
                sends,
                "may_have_run",
                possibleExecutions,
                "age_ms",
                ageMillis,
                "again",
                resend);
    }

    void firstEvent(PlacementGrant grant, long tookMillis, long ageMillis) {
        LOG.info(
                "stream_started",
                "request",
                mRequestId,
                "upstream",
                grant.upstream(),
                "expected_ms",
                grant.expectedMillis(),
                "took_ms",
                tookMillis,
                "age_ms",
                ageMillis);
    }

    void lateEvent(Optional<PlacementGrant> grant, long gapMillis) {
        LOG.info(
                "stream_delayed",
                "request",
                mRequestId,
                "upstream",
                grant.map(PlacementGrant::upstream),
                "gap_ms",
                gapMillis);
    }

    void ended(String reason, int sends, long lastEventId, long firstEventMillis, long ageMillis) {
        LOG.info(
                "request_ended",
                "request",
                mRequestId,
                "route",
                mRoute,
                "reason",
                reason,
                "sends",
                sends,
                "last_event",
                lastEventId,
                "first_ms",
                firstEventMillis,
                "age_ms",
                ageMillis);
    }
}
