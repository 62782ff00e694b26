package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.EngineCost;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether to accept the best placement available now or to wait for a better one.
 * Stateless.
 */
final class PlacementRules {
    /**
     * Remaining time before the target below which a request accepts a placement that delays
     * others.
     */
    private static final long WAIT_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

    /** Lost value up to this share of the request's value is within the error of the estimates. */
    private static final double NEGLIGIBLE_LOSS_SHARE = 0.02;

    /** Maximum number of late requests that wait, as a share of all slots of their service. */
    private static final double MAXIMUM_LATE_SHARE = 0.1;

    /**
     * The same while teams share the service. Answers that began together end together, so that no
     * slot becomes free for up to a second; the requests that a small team sends in this time are
     * late, but within its share.
     */
    private static final double MAXIMUM_SHARED_LATE_SHARE = 0.4;

    private PlacementRules() {}

    /**
     * Returns whether to place the request now. A placement that delays no other request is
     * accepted if the request is worth more than the work it displaces. A placement that delays
     * others is accepted only if waiting for a better one would make this request late. While teams
     * share the service, the order decides which request is served, not the value of others.
     */
    static boolean isWorthPlacing(WaitingRequest waiting, PlacementOption option) {
        PlacementRequest request = waiting.request();
        boolean onTime = option.firstEventNanos() - request.targetNanos() <= 0;
        double gain = request.value() * (onTime ? 1 : 1 - EngineChooser.LATE_LOSS_SHARE);
        double displacedValue = waiting.shared() ? 0 : option.displacedValue();
        if (option.lostValue() <= NEGLIGIBLE_LOSS_SHARE * request.value()) {
            return displacedValue <= gain;
        }
        long latestFirstEventNanos = onTime ? request.targetNanos() : request.latestStartNanos();
        boolean mustPlaceNow =
                latestFirstEventNanos - option.firstEventNanos() - WAIT_MARGIN_NANOS < 0;
        double acceptableLoss = onTime ? gain * EngineChooser.LATE_LOSS_SHARE : gain;
        return mustPlaceNow && option.lostValue() + displacedValue < acceptableLoss;
    }

    /**
     * Returns whether to wait for a better placement: this one would miss the target, although
     * engines that soon complete their present work may still meet it. This applies to long prompts
     * that arrive together.
     */
    static boolean shouldWaitForTarget(
            WaitingRequest waiting, PlacementOption option, long nowNanos) {
        return option.firstEventNanos() - waiting.request().targetNanos() > 0
                && !waiting.willMissTarget(nowNanos);
    }

    /**
     * Returns whether to reject a late request that finds no room, as too many late ones wait.
     * While teams share the service, these are the last ones in the order of the shares.
     */
    static boolean shouldShed(WaitingRequest waiting, ServiceRound round, EngineCost cost) {
        if (!waiting.late() || waiting.lateOnArrival()) {
            return false;
        }
        double slots = (double) round.upstreamCount() * cost.maximumConcurrentRequests();
        return waiting.shared()
                ? waiting.lateAhead() >= MAXIMUM_SHARED_LATE_SHARE * slots
                : round.lateCount() > MAXIMUM_LATE_SHARE * slots;
    }

    /**
     * Marks the parts that this placement delays as late, so that later decisions do not count the
     * same loss again.
     */
    static void markDelayedParts(PlacementOption option, long nowNanos) {
        option.parts().stream()
                .filter(part -> part.lostValue() > 0)
                .flatMap(part -> part.upstream().parts().stream())
                .filter(placed -> placed.started() || placed.firstEventNanos() - nowNanos > 0)
                .forEach(PlacedPart::markLate);
    }
}
