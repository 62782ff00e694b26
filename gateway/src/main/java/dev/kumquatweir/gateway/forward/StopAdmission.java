package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.policy.stop.CompletionTimes;
import dev.kumquatweir.policy.stop.PlannedStop;
import dev.kumquatweir.policy.stop.RequestProgress;
import dev.kumquatweir.policy.stop.StopAction;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Applies a planned stop to the requests of an instance. Confined to the I/O thread, except {@link
 * #begin} and {@link #stopping}.
 */
final class StopAdmission {
    private final ForwardingState mState;
    private final CompletionTimes mCompletionTimes = new CompletionTimes();
    private volatile @Nullable PlannedStop mStop;

    StopAdmission(ForwardingState state) {
        mState = state;
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
        return stop == null ? 0 : TimeUnit.NANOSECONDS.toMillis(stop.elapsedNanos(nowNanos));
    }

    /** Decides on a request that no upstream has received. */
    StopAction decideWaiting(ForwardedRequest request, long nowNanos) {
        PlannedStop stop = mStop;
        return stop == null
                ? StopAction.CONTINUE
                : stop.decide(
                        new RequestProgress.Waiting(expectedNanos(request, nowNanos)), nowNanos);
    }

    /**
     * Decides on a request that may have been executed.
     *
     * @param answering whether its caller has received a part of the answer
     */
    StopAction decideSent(boolean answering, long nowNanos) {
        PlannedStop stop = mStop;
        return stop == null
                ? StopAction.CONTINUE
                : stop.decide(
                        answering ? new RequestProgress.Answering() : new RequestProgress.Sent(),
                        nowNanos);
    }

    /**
     * Returns whether a request that is sent now is expected to complete before the process ends.
     */
    boolean leavesTimeFor(ForwardedRequest request, long nowNanos) {
        PlannedStop stop = mStop;
        return stop == null || stop.leavesTimeFor(expectedNanos(request, nowNanos), nowNanos);
    }

    /** Records a complete answer, which later estimates of its route take into account. */
    void recordAnswer(ForwardedRequest request, long tookMillis) {
        mCompletionTimes.record(request.route(), size(request), tookMillis);
    }

    /** At most until the request's deadline, since it gets its final answer then at the latest. */
    private long expectedNanos(ForwardedRequest request, long nowNanos) {
        double millis = mCompletionTimes.expectedMillis(request.route(), size(request));
        long expectedNanos = (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
        return Math.min(expectedNanos, Math.max(0, request.deadlineNanos() - nowNanos));
    }

    private CompletionTimes.Size size(ForwardedRequest request) {
        return new CompletionTimes.Size(
                mState.routing()
                        .flatMap((RoutingTable routing) -> routing.service(request.service()))
                        .flatMap(RoutedService::engineCost),
                request.head().promptTokens(),
                request.head().expectedOutputTokens());
    }
}
