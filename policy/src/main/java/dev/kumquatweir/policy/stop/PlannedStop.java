package dev.kumquatweir.policy.stop;

import java.util.concurrent.TimeUnit;

/** Decisions during a planned stop of an instance that serves callers. Immutable. */
public final class PlannedStop {
    /**
     * The load balancer probes every second and removes an instance after two failed probes; later
     * requests come on connections that were idle since before the stop.
     */
    private static final long ACCEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private final long mStartedNanos;
    private final long mExitNanos;

    /**
     * @param startedNanos time at which the stop began
     * @param drainNanos time after which no request runs any more
     */
    public PlannedStop(long startedNanos, long drainNanos) {
        mStartedNanos = startedNanos;
        mExitNanos = startedNanos + drainNanos;
    }

    /** Returns the time at which no request runs any more. */
    public long exitNanos() {
        return mExitNanos;
    }

    /** Returns the time since the stop began. */
    public long elapsedNanos(long nowNanos) {
        return nowNanos - mStartedNanos;
    }

    /** Returns whether connections and further requests on open connections are accepted. */
    public boolean acceptsConnections(long nowNanos) {
        return elapsedNanos(nowNanos) < Math.min(ACCEPT_NANOS, mExitNanos - mStartedNanos);
    }

    /**
     * Returns whether a request that needs this time to its complete answer ends before the process
     * does.
     */
    public boolean leavesTimeFor(long expectedNanos, long nowNanos) {
        return nowNanos + expectedNanos - mExitNanos <= 0;
    }

    /** Decides on a request, on its arrival and periodically until it ends. */
    public StopAction decide(RequestProgress progress, long nowNanos) {
        boolean ended = nowNanos - mExitNanos >= 0;
        return switch (progress) {
            case RequestProgress.Waiting waiting ->
                    ended || !leavesTimeFor(neededNanos(waiting), nowNanos)
                            ? StopAction.REJECT
                            : StopAction.CONTINUE;
            case RequestProgress.WaitingAgain waiting ->
                    ended || !leavesTimeFor(waiting.expectedNanos(), nowNanos)
                            ? breakOff(waiting.answering())
                            : StopAction.CONTINUE;
            case RequestProgress.Sent _ -> ended ? breakOff(false) : StopAction.CONTINUE;
            case RequestProgress.Answering _ -> ended ? breakOff(true) : StopAction.CONTINUE;
        };
    }

    /**
     * A request that arrives while callers are still sent here is likely to end in time. A later
     * one is rejected unless its end is certain: its caller loses less by going elsewhere at once
     * than by an answer that is cut.
     */
    private long neededNanos(RequestProgress.Waiting waiting) {
        return acceptsConnections(waiting.arrivedNanos())
                ? waiting.expectedNanos()
                : waiting.latestNanos();
    }

    private static StopAction breakOff(boolean answering) {
        return answering ? StopAction.ABORT : StopAction.FAIL;
    }
}
