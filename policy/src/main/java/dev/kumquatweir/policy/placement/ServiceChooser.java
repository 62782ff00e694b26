package dev.kumquatweir.policy.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the upstream for one call of a plain service: the one with the lowest load, corrected for
 * slow responses and failed calls. This keeps calls off the slow or failing upstreams of a small
 * service. Stateless.
 */
final class ServiceChooser {
    /** Weight of the error rate relative to occupancy. */
    private static final double ERROR_WEIGHT = 3;

    /** Smaller than one slot, so that load still decides on a standalone instance. */
    private static final double PREFERENCE_WEIGHT = 0.1;

    /** About one slot of six. A call between failure domains costs more and may be lost. */
    private static final double SAME_DOMAIN_WEIGHT = 0.17;

    private ServiceChooser() {}

    /** Returns the upstream with the lowest load that has a free slot, or empty if none has. */
    static Optional<PlacementUpstream> choose(
            PlacementRequest request, List<PlacementUpstream> eligible, long nowNanos) {
        return eligible.stream()
                .filter(upstream -> upstream.primaryCount() < availableSlots(upstream, nowNanos))
                .min(
                        Comparator.comparingDouble(
                                upstream ->
                                        load(upstream, nowNanos)
                                                - (upstream.sharesDomain(request)
                                                        ? SAME_DOMAIN_WEIGHT
                                                        : 0)));
    }

    private static int availableSlots(PlacementUpstream upstream, long nowNanos) {
        return upstream.availableSlots(upstream.notice().slots(), nowNanos);
    }

    private static double load(PlacementUpstream upstream, long nowNanos) {
        double occupancy =
                (double) upstream.primaryCount() / Math.max(1, upstream.notice().slots());
        double slowdown = upstream.health().slowdown(nowNanos);
        return (occupancy + 0.1) * slowdown
                + ERROR_WEIGHT * upstream.health().errorRate(nowNanos)
                - PREFERENCE_WEIGHT * upstream.preference();
    }
}
