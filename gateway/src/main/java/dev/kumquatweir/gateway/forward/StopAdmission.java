package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.policy.stop.CompletionTimes;
import dev.kumquatweir.policy.stop.PlannedStop;
import dev.kumquatweir.policy.stop.RequestProgress;
import dev.kumquatweir.policy.stop.StopAction;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Applies a planned stop, and the loss of all upstreams, to the requests of an instance. Confined
 * to the I/O thread, except {@link #begin}, {@link #stopping} and {@link #brokenOffCount}.
 */
final class StopAdmission {
    private static final EventLog LOG = EventLog.of(StopAdmission.class);

    /** Expected share of the output still to be generated when a stream is resumed. */
    static final double RESUMED_OUTPUT_SHARE = 0.5;

    private final ForwardingState mState;
    private final BooleanSupplier mCutOff;
    private final CompletionTimes mCompletionTimes = new CompletionTimes();
    private volatile @Nullable PlannedStop mStop;
    private final AtomicInteger mBrokenOffCount = new AtomicInteger();

    /**
     * @param cutOff whether this instance reaches no upstream, but others do
     */
    StopAdmission(ForwardingState state, BooleanSupplier cutOff) {
        mState = state;
        mCutOff = cutOff;
    }

    /** Begins a planned stop. */
    void begin(PlannedStop stop) {
        mStop = stop;
    }

    /** Returns whether a planned stop has begun. */
    boolean stopping() {
        return mStop != null;
    }

    /** Returns the time since the planned stop began, 0 if there is none. */
    long stoppingMillis(long nowNanos) {
        PlannedStop stop = mStop;
        return stop == null ? 0 : toMillis(stop.elapsedNanos(nowNanos));
    }

    /**
     * Decides on a request.
     *
     * @param sent whether it was sent to an upstream and has not come back
     * @param mayHaveExecuted whether an earlier send may have executed it
     * @param answering whether its caller has received a part of the answer
     */
    StopAction decide(
            ForwardedRequest request,
            boolean sent,
            boolean mayHaveExecuted,
            boolean answering,
            long nowNanos) {
        PlannedStop stop = mStop;
        if (mCutOff.getAsBoolean() && !sent) {
            return withoutUpstreams(mayHaveExecuted, answering);
        }
        if (stop == null) {
            return StopAction.CONTINUE;
        }
        RequestProgress progress;
        if (sent) {
            progress = answering ? new RequestProgress.Answering() : new RequestProgress.Sent();
        } else if (mayHaveExecuted) {
            progress = waitingAgain(request, answering, nowNanos);
        } else {
            progress =
                    new RequestProgress.Waiting(
                            request.arrivedNanos(),
                            expectedNanos(request, 1, nowNanos),
                            latestNanos(request, nowNanos));
        }
        StopAction action = stop.decide(progress, nowNanos);
        if (action != StopAction.CONTINUE) {
            log(stop, request, action, nowNanos);
        }
        if (action == StopAction.FAIL || action == StopAction.ABORT) {
            mBrokenOffCount.incrementAndGet();
        }
        return action;
    }

    /** Returns what ends a request that waits for an upstream while none can be reached. */
    private static StopAction withoutUpstreams(boolean mayHaveExecuted, boolean answering) {
        if (answering) {
            return StopAction.ABORT;
        }
        return mayHaveExecuted ? StopAction.FAIL : StopAction.REJECT;
    }

    /** Returns the reason for which requests are ended now, in the log and for callers. */
    String reason(String whileStopping) {
        return stopping() ? whileStopping : "cut_off";
    }

    /**
     * Returns whether a request could still complete on another upstream. If not, a silent upstream
     * may yet go on and is better than none.
     */
    boolean leavesTimeToResend(ForwardedRequest request, boolean answering, long nowNanos) {
        PlannedStop stop = mStop;
        return stop == null
                || stop.decide(waitingAgain(request, answering, nowNanos), nowNanos)
                        == StopAction.CONTINUE;
    }

    /** Logs a request that is sent to an upstream during a planned stop. */
    void recordSend(ForwardedRequest request, long nowNanos) {
        PlannedStop stop = mStop;
        if (stop != null) {
            log(stop, request, StopAction.CONTINUE, nowNanos);
        }
    }

    /** Logs a decision with the times that led to it. */
    private void log(PlannedStop stop, ForwardedRequest request, StopAction action, long nowNanos) {
        LOG.info(
                "stop_decision",
                "request",
                request.head().requestId(),
                "route",
                request.route().name(),
                "action",
                action,
                "stopping_ms",
                stoppingMillis(nowNanos),
                "expected_ms",
                toMillis(expectedNanos(request, 1, nowNanos)),
                "left_ms",
                toMillis(stop.exitNanos() - nowNanos));
    }

    /** Returns the number of requests that a planned stop has broken off. */
    int brokenOffCount() {
        return mBrokenOffCount.get();
    }

    /** Records a complete answer, which later estimates of its route take into account. */
    void recordAnswer(ForwardedRequest request, long sentNanos, long nowNanos) {
        boolean whole = request.head().lastEventId() < 0;
        if (whole) {
            long tookMillis = toMillis(nowNanos - sentNanos);
            mCompletionTimes.record(request.route(), size(request, 1), tookMillis, nowNanos);
        }
    }

    private RequestProgress waitingAgain(
            ForwardedRequest request, boolean answering, long nowNanos) {
        double outputShare = answering ? RESUMED_OUTPUT_SHARE : 1;
        return new RequestProgress.WaitingAgain(
                expectedNanos(request, outputShare, nowNanos), answering);
    }

    /** At most until the request's deadline, since it gets its final answer then at the latest. */
    private long expectedNanos(ForwardedRequest request, double outputShare, long nowNanos) {
        double millis =
                mCompletionTimes.expectedMillis(
                        request.route(), size(request, outputShare), nowNanos);
        long expectedNanos = (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
        return Math.min(expectedNanos, latestNanos(request, nowNanos));
    }

    private static long latestNanos(ForwardedRequest request, long nowNanos) {
        return Math.max(0, request.deadlineNanos() - nowNanos);
    }

    private static long toMillis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    private CompletionTimes.Size size(ForwardedRequest request, double outputShare) {
        return new CompletionTimes.Size(
                mState.routing()
                        .flatMap((RoutingTable routing) -> routing.service(request.service()))
                        .flatMap(RoutedService::engineCost),
                request.head().promptTokens(),
                (long) (request.head().expectedOutputTokens() * outputShare));
    }
}
