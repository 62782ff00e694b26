package dev.kumquatweir.policy.placement;

import dev.kumquatweir.policy.locality.CallCompletion;
import dev.kumquatweir.policy.locality.WorkTime;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the upstream for one call of a plain service: the one with the lowest load, corrected for
 * slow responses and failed calls, or, if failure domains are balanced, the one with the earliest
 * expected completion. This keeps calls off the slow or failing upstreams of a small service.
 * Stateless.
 */
final class ServiceChooser {
    /** Weight of the error rate relative to occupancy. */
    private static final double ERROR_WEIGHT = 3;

    /** Smaller than one slot, so that load still decides on a standalone instance. */
    private static final double PREFERENCE_WEIGHT = 0.1;

    /**
     * About one slot of six, while domains are not balanced. A call between failure domains costs
     * more and may be lost.
     */
    private static final double SAME_DOMAIN_WEIGHT = 0.17;

    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private ServiceChooser() {}

    /** Returns the upstream with the lowest load that has a free slot, or empty if none has. */
    static Optional<PlacementUpstream> choose(
            PlacementRequest request, List<PlacementUpstream> eligible, long nowNanos) {
        if (eligible.stream().anyMatch(upstream -> upstream.domainCapacity() != null)) {
            return earliestCompletion(request, eligible, nowNanos);
        }
        return eligible.stream()
                .filter(upstream -> hasFreeSlot(upstream, nowNanos))
                .min(
                        Comparator.comparingDouble(
                                upstream ->
                                        load(upstream, nowNanos)
                                                - (upstream.sharesDomain(request)
                                                        ? SAME_DOMAIN_WEIGHT
                                                        : 0)));
    }

    /**
     * Returns the upstream with the earliest expected completion. The call waits if that is one
     * without a free slot, while that leaves it on time: a slot there is free sooner than a call to
     * a far domain is complete.
     */
    private static Optional<PlacementUpstream> earliestCompletion(
            PlacementRequest request, List<PlacementUpstream> eligible, long nowNanos) {
        double usualMillis = usualMillis(eligible);
        double leftMillis = (request.targetNanos() - nowNanos) / NANOS_PER_MILLI;
        double waitingLimit = leftMillis / usualMillis;
        @Nullable PlacementUpstream best = null;
        double earliest = Double.POSITIVE_INFINITY;
        for (PlacementUpstream upstream : eligible) {
            double expected = completion(request, upstream, usualMillis, nowNanos);
            boolean free = hasFreeSlot(upstream, nowNanos);
            boolean possible = free || (isWorking(upstream, nowNanos) && expected <= waitingLimit);
            if (possible && expected < earliest) {
                best = upstream;
                earliest = expected;
            }
        }
        return Optional.ofNullable(best).filter(upstream -> hasFreeSlot(upstream, nowNanos));
    }

    /** Returns whether it is neither suspended nor probed after failures. */
    private static boolean isWorking(PlacementUpstream upstream, long nowNanos) {
        int slots = upstream.notice().slots();
        return upstream.health().availableSlots(slots, nowNanos) == slots;
    }

    private static boolean hasFreeSlot(PlacementUpstream upstream, long nowNanos) {
        int slots = upstream.availableSlots(upstream.notice().slots(), nowNanos);
        return upstream.primaryCount() < slots;
    }

    /** Returns the work time of the fastest upstream. */
    private static double usualMillis(List<PlacementUpstream> eligible) {
        return eligible.stream()
                .map(PlacementUpstream::workTime)
                .filter(WorkTime::measured)
                .mapToDouble(WorkTime::millis)
                .min()
                .orElse(WorkTime.DEFAULT_MILLIS);
    }

    /** Returns the expected completion in usual work times, corrected for failed calls. */
    private static double completion(
            PlacementRequest request,
            PlacementUpstream upstream,
            double usualMillis,
            long nowNanos) {
        // A call that has been running longer than usual shows a slow upstream before its end.
        double workMillis =
                Math.max(
                        upstream.workTime().expectedMillis(usualMillis, nowNanos),
                        upstream.oldestMillis(nowNanos));
        CallCompletion completion =
                new CallCompletion(
                        usualMillis,
                        workMillis,
                        upstream.crossingMillis(request),
                        !upstream.sharesDomain(request),
                        upstream.primaryCount(),
                        upstream.notice().slots());
        return completion.expected()
                + ERROR_WEIGHT * upstream.health().errorRate(nowNanos)
                - PREFERENCE_WEIGHT * upstream.preference();
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
