package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.policy.cost.StartError;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Scores a candidate placement by the value that it is expected to gain, less its costs. Stateless.
 *
 * <p>The expected time of the first event has an error. A placement that is expected just inside
 * its target is late in half of the cases, so its value counts with the probability of being on
 * time. Otherwise short requests are packed on busy or slow engines while others are idle.
 */
final class OptionScore {
    /** Saturation above which engine time is scarce. */
    private static final double SCARCITY_THRESHOLD = 0.7;

    private static final double SPEED_WEIGHT = 0.05;

    /**
     * Exceeds the score that waiting for a pass costs a short request, so that idle engines stay
     * idle.
     */
    private static final double PACKING_WEIGHT = 0.1;

    /**
     * Smaller than the packing weight, so that a standalone instance keeps to the engines it has
     * already chosen.
     */
    private static final double PREFERENCE_WEIGHT = 0.05;

    private static final double ADDITIONAL_ENGINE_WEIGHT = 0.002;
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private OptionScore() {}

    /**
     * Returns the score; higher is better.
     *
     * @param parts estimates for the engines that share the prefill, the primary first
     * @param firstEventNanos expected time of the first event
     * @param errorRate highest error rate of the engines
     * @param lostValue value that other requests lose
     * @param startError error of the expected time
     */
    static double score(
            PlacementRequest request,
            EngineCost cost,
            List<PartEstimate> parts,
            long firstEventNanos,
            double errorRate,
            double lostValue,
            StartError startError,
            long nowNanos) {
        double value = request.value();
        double firstEventMillis = (firstEventNanos - nowNanos) / NANOS_PER_MILLI;
        double marginMillis = (request.targetNanos() - firstEventNanos) / NANOS_PER_MILLI;
        double lateProbability = startError.probabilityLate(firstEventMillis, marginMillis);
        double gain = value * (1 - EngineChooser.LATE_LOSS_SHARE * lateProbability);
        double windowMillis = Math.max(1, (request.targetNanos() - nowNanos) / NANOS_PER_MILLI);
        double slowness = SPEED_WEIGHT * Math.min(2, firstEventMillis / windowMillis);
        double packingScore = packingScore(cost, request, parts.get(0), parts.size());
        return gain * (1 - errorRate) - lostValue + value * (packingScore - slowness);
    }

    /**
     * Returns the value of the tokens that the engines could decode instead of the prefill,
     * weighted by the scarcity of slots. During a burst of short requests on few engines, one very
     * long prompt would displace more of them than it is worth.
     */
    static double displacedValue(PlacementRequest request, EngineCost cost, double saturation) {
        int requests = cost.maximumConcurrentRequests();
        double tokens = (double) requests * cost.stepsPerPass();
        double valuePerMilli =
                PlacementRequest.outputValue(tokens) / cost.decodePassMillis(requests, 0);
        double scarcity = Math.max(0, (saturation - SCARCITY_THRESHOLD) / (1 - SCARCITY_THRESHOLD));
        return scarcity * valuePerMilli * cost.prefillMillis(request.promptTokens());
    }

    /**
     * Returns a score that favours busy engines for short prompts and idle engines for long ones.
     */
    private static double packingScore(
            EngineCost cost, PlacementRequest request, PartEstimate primary, int engines) {
        double occupied =
                (double) primary.upstream().primaryCount() / cost.maximumConcurrentRequests();
        boolean shortPrompt = EngineChooser.isShort(request, cost);
        double attraction = occupied > 0 ? (1 + occupied) / 2 : 0;
        return PACKING_WEIGHT * (shortPrompt ? attraction : -attraction)
                + PREFERENCE_WEIGHT * primary.upstream().preference()
                + DomainPreference.score(request, primary.upstream())
                - ADDITIONAL_ENGINE_WEIGHT * (engines - 1);
    }
}
