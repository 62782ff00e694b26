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
    private final boolean mLateOnArrival;
    private double mValueDensity;
    private long mTypicalNanos;
    private boolean mLate;
    private boolean mCompared;
    private long mComparedNanos;

    /**
     * @param request the request
     * @param cost cost model of the engines of its service; empty for a plain service
     * @param nowNanos present time; a request that is late on arrival is a retry or a resumption
     */
    WaitingRequest(PlacementRequest request, Optional<EngineCost> cost, long nowNanos) {
        mRequest = request;
        mArrivedNanos = nowNanos;
        updateCost(cost);
        mLateOnArrival = willMissTarget(nowNanos);
    }

    /** Sets the cost model of the engines of its service. */
    void updateCost(Optional<EngineCost> cost) {
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
