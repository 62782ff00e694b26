package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.policy.memory.forecast.ExpectedOutput;
import dev.kumquatweir.policy.memory.forecast.HeldRequest;
import dev.kumquatweir.policy.memory.forecast.LearnedOutputs;
import dev.kumquatweir.policy.memory.forecast.MemoryForecast;
import dev.kumquatweir.policy.memory.forecast.MemoryForecasts;
import org.jspecify.annotations.Nullable;

/**
 * What the memory forecasts of all upstreams of one scheduler have in common: the confidence and
 * the learned length of answers. Not thread-safe.
 */
final class MemoryModel {
    private final LearnedOutputs mOutputs = new LearnedOutputs();
    private final MemoryForecasts mForecasts;
    private @Nullable PlacementRequest mCandidateRequest;
    private @Nullable HeldRequest mCandidate;
    private long mPassedOverCount;

    /**
     * @param confidence probability with which the requests on an engine fit, above 0 and below 1
     */
    MemoryModel(double confidence) {
        mForecasts = new MemoryForecasts(confidence, mOutputs);
    }

    MemoryForecast forEngine() {
        return mForecasts.forEngine();
    }

    /** Returns what an engine would hold that processes all of a request. */
    HeldRequest candidate(PlacementRequest request) {
        HeldRequest candidate = mCandidate;
        // All engines are compared for one request before the next one.
        if (candidate == null || mCandidateRequest != request) {
            candidate = mForecasts.answering(request.promptTokens(), expectedOutput(request));
            mCandidate = candidate;
            mCandidateRequest = request;
        }
        return candidate;
    }

    /** Returns what an upstream holds for its part of a placement. */
    HeldRequest held(PlacedPart part) {
        PlacementRequest request = part.request();
        return part.primary()
                ? mForecasts.answering(
                        part.memoryTokens() - request.outputTokens(), expectedOutput(request))
                : mForecasts.helping(part.promptTokens(), part.memoryTokens());
    }

    /**
     * Learns from a complete answer. Ignores those of further attempts, which may be the rest of an
     * answer that another upstream began.
     */
    void answered(PlacedPart part, EngineCost cost) {
        if (part.request().retry()) {
            return;
        }
        mCandidate = null;
        mOutputs.recordAnswer(
                expectedOutput(part.request()), part.eventCount() * cost.stepsPerPass());
    }

    /** Counts an engine that did not get a request, since the forecast would exceed its memory. */
    void countPassedOver() {
        mPassedOverCount++;
    }

    /** Returns how often an engine did not get a request for lack of memory. */
    long passedOverCount() {
        return mPassedOverCount;
    }

    private static ExpectedOutput expectedOutput(PlacementRequest request) {
        return new ExpectedOutput(
                request.route(),
                request.outputTokens(),
                request.outputLimitTokens(),
                request.outputHintTokens());
    }
}
