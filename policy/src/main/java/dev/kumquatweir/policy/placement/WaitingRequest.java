package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.EngineCost;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** A request that waits for an upstream, with what its order among others depends on. */
final class WaitingRequest {
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final PlacementRequest mRequest;
    private final boolean mReturned;
    private double mDensity;
    private long mUsualNanos;
    private boolean mLate;
    private boolean mExamined;
    private long mExaminedNanos;

    /**
     * @param request the request
     * @param cost what the engines of its service cost; empty for a plain service
     * @param nowNanos present time; a request that is late already came back or goes on elsewhere
     */
    WaitingRequest(PlacementRequest request, Optional<EngineCost> cost, long nowNanos) {
        mRequest = request;
        cost(cost);
        mReturned = tooLateForTarget(nowNanos);
    }

    /** Sets what the engines of its service cost. */
    void cost(Optional<EngineCost> cost) {
        mUsualNanos =
                cost.map(known -> EngineChooser.usualMillis(mRequest, known) * NANOS_PER_MILLI)
                        .orElse(0.0)
                        .longValue();
        mDensity =
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

    /** Returns whether it could not be on time when it was asked for. */
    boolean returned() {
        return mReturned;
    }

    /** Returns its value for each millisecond of an engine. */
    double density() {
        return mDensity;
    }

    /**
     * Returns whether even an engine with a free place would begin the answer after its target. A
     * request counts as late from then on, or it would take places from others that can be on time.
     */
    boolean tooLateForTarget(long nowNanos) {
        return mRequest.targetNanos() - nowNanos < mUsualNanos;
    }

    /** Returns whether it was too late for its target when the present look began. */
    boolean late() {
        return mLate;
    }

    void lookBegins(long nowNanos) {
        mLate = tooLateForTarget(nowNanos);
    }

    /** Returns whether engines have been compared for it. */
    boolean examined() {
        return mExamined;
    }

    /** Returns when engines were last compared for it. */
    long examinedNanos() {
        return mExaminedNanos;
    }

    void examined(long nowNanos) {
        mExamined = true;
        mExaminedNanos = nowNanos;
    }
}
