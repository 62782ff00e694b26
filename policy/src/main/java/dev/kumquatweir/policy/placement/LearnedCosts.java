package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.policy.cost.CostAccuracy;
import dev.kumquatweir.policy.cost.CostModel;
import dev.kumquatweir.policy.cost.CostOrigin;
import dev.kumquatweir.policy.cost.StartError;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Learns the cost of requests from the answers that the scheduler sees, if that is switched on, and
 * gives requests the output that is expected by it. Owned by {@link PlacementScheduler}; not
 * thread-safe.
 */
public final class LearnedCosts {
    private final CostModel mModel = new CostModel();
    private final boolean mEnabled;
    private final StartError mStartError;
    private final RoutedServices mServices;

    LearnedCosts(SchedulerFeatures features, RoutedServices services) {
        mEnabled = features.learnedCosts();
        mStartError = mEnabled ? StartError.defaultDistribution() : StartError.exact();
        mServices = services;
    }

    /** Returns the error of expected times of first events; none if the costs are not learned. */
    StartError startError() {
        return mStartError;
    }

    /** Returns how well the output of answers was estimated lately. */
    public CostAccuracy accuracy() {
        return mEnabled ? mModel.accuracy() : CostAccuracy.NONE;
    }

    CostModel model() {
        return mModel;
    }

    /** Returns the request with its learned expected output, unchanged if nothing is known. */
    PlacementRequest withExpectedOutput(PlacementRequest request) {
        if (!mEnabled || request.promptTokens() == 0) {
            return request;
        }
        long expected = mModel.expectedTokens(origin(request));
        return expected == request.outputTokens() ? request : request.withOutputTokens(expected);
    }

    /** Returns the output in tokens that the answer does not exceed with a probability, 0 to 1. */
    long outputTokensAt(PlacementRequest request, double confidence) {
        return mEnabled
                ? mModel.outputTokensAt(origin(request), confidence)
                : request.outputTokens();
    }

    /** Records a complete answer. A placement whose number of events is not known has none. */
    void answered(PlacedPart part, long nowNanos) {
        PlacementRequest request = part.request();
        if (!mEnabled || !part.primary()) {
            return;
        }
        Optional<EngineCost> cost = mServices.engineCost(request.service());
        if (cost.isEmpty()) {
            long nanos = nowNanos - part.grantedNanos();
            long millis = TimeUnit.NANOSECONDS.toMillis(nanos);
            mModel.recordMillis(origin(request), millis, nowNanos);
        } else if (part.eventCount() > 0) {
            long outputTokens = part.eventCount() * cost.get().stepsPerPass();
            mModel.recordOutput(origin(request), outputTokens, nowNanos);
        }
    }

    private static CostOrigin origin(PlacementRequest request) {
        List<String> parts = request.sharedParts();
        return new CostOrigin(
                request.route(),
                request.team(),
                parts.isEmpty() ? "" : parts.get(parts.size() - 1),
                request.outputTokens(),
                request.outputHintTokens(),
                request.outputLimitTokens());
    }
}
