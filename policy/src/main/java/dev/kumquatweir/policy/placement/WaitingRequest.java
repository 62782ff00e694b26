package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.EngineCost;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A request that waits for an upstream, with the properties that determine its place in the queue.
 * Owned by {@link WaitingRequests}; not thread-safe.
 */
final class WaitingRequest {
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final PlacementRequest mRequest;
    private final long mArrivedNanos;
    private final long mFirstArrivedNanos;
    private final boolean mLateOnArrival;
    private double mValueDensity;
    private double mWork;
    private long mTypicalNanos;
    private boolean mLate;
    private boolean mCompared;
    private long mComparedNanos;
    private long mExpectedWaitNanos;
    private boolean mShared;
    private int mLateAhead;

    /**
     * @param request the request
     * @param cost cost model of the engines of its service; empty for a plain service
     * @param nowNanos present time; a request that is late on arrival is a retry or a resumption
     */
    WaitingRequest(PlacementRequest request, Optional<EngineCost> cost, long nowNanos) {
        this(request, cost, nowNanos, nowNanos);
    }

    /**
     * @param request the request
     * @param cost cost model of the engines of its service; empty for a plain service
     * @param firstArrivedNanos time of its first arrival, earlier than the present if its caller
     *     sends it again after a rejection
     * @param nowNanos present time
     */
    WaitingRequest(
            PlacementRequest request,
            Optional<EngineCost> cost,
            long firstArrivedNanos,
            long nowNanos) {
        mRequest = request;
        mArrivedNanos = nowNanos;
        mFirstArrivedNanos = firstArrivedNanos;
        updateCost(cost);
        mLateOnArrival = willMissTarget(nowNanos);
    }

    /** Sets the cost model of the engines of its service. */
    void updateCost(Optional<EngineCost> cost) {
        mWork = cost.map(known -> engineMillis(mRequest, known)).orElse(1.0);
        mTypicalNanos =
                cost.map(known -> EngineChooser.typicalMillis(mRequest, known) * NANOS_PER_MILLI)
                        .orElse(0.0)
                        .longValue();
        mValueDensity =
                cost.map(
                                known ->
                                        mRequest.value()
                                                / (known.prefillMillis(mRequest.promptTokens())
                                                        + known.decodePassMillis(1, 0)))
                        .orElse(1.0);
    }

    /**
     * Returns the time of one engine that a generation takes, in milliseconds: its prefill, and its
     * part of the passes of a full batch.
     */
    private static double engineMillis(PlacementRequest request, EngineCost cost) {
        int requests = Math.max(1, cost.maximumConcurrentRequests());
        double passes = (double) request.outputTokens() / Math.max(1, cost.stepsPerPass());
        return cost.prefillMillis(request.promptTokens())
                + passes * cost.decodePassMillis(requests, 0) / requests;
    }

    PlacementRequest request() {
        return mRequest;
    }

    /** Returns the time at which it was submitted. */
    long arrivedNanos() {
        return mArrivedNanos;
    }

    /** Returns whether it could not meet its target when it was submitted. */
    boolean lateOnArrival() {
        return mLateOnArrival;
    }

    /** Returns the time of its first arrival, from which its target is counted. */
    long firstArrivedNanos() {
        return mFirstArrivedNanos;
    }

    /** Returns whether its caller sends it again after a rejection. */
    boolean returning() {
        return mFirstArrivedNanos != mArrivedNanos;
    }

    /** Returns its predicted work: milliseconds of one engine, 1 for a call of a plain service. */
    double work() {
        return mWork;
    }

    /** Returns whether teams share its service, as it is overloaded. */
    boolean shared() {
        return mShared;
    }

    /** Returns the least time until the share of its team reaches it, 0 if it is not known. */
    long expectedWaitNanos() {
        return mExpectedWaitNanos;
    }

    /**
     * Returns the number of late requests of its service that are served before it, 0 unless teams
     * share the service.
     */
    int lateAhead() {
        return mLateAhead;
    }

    /** Sets its turn in the present scheduling round. */
    void setTurn(long expectedWaitNanos, int lateAhead) {
        mShared = true;
        mExpectedWaitNanos = expectedWaitNanos;
        mLateAhead = lateAhead;
    }

    /** Returns its value per millisecond of engine time. */
    double valueDensity() {
        return mValueDensity;
    }

    /**
     * Returns whether even an engine with a free slot would typically start the answer after its
     * target. From then on the request counts as late; otherwise it would take slots from requests
     * that can be on time.
     */
    boolean willMissTarget(long nowNanos) {
        return mRequest.targetNanos() - nowNanos < mTypicalNanos;
    }

    /** Returns whether it could not meet its target when the present scheduling round began. */
    boolean late() {
        return mLate;
    }

    void beginRound(long nowNanos) {
        mLate = willMissTarget(nowNanos);
        setTurn(0, 0);
        mShared = false;
    }

    /** Returns whether engines have been compared for this request. */
    boolean compared() {
        return mCompared;
    }

    /** Returns the time of the last comparison of engines for this request. */
    long comparedNanos() {
        return mComparedNanos;
    }

    void markCompared(long nowNanos) {
        mCompared = true;
        mComparedNanos = nowNanos;
    }
}
