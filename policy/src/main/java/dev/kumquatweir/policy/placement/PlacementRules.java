package dev.kumquatweir.policy.placement;

import java.util.concurrent.TimeUnit;

/** Decides whether the best place that there is now is good enough. Pure. */
final class PlacementRules {
    /** A request waits so close to its target for a place that costs others nothing. */
    private static final long PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

    /** Harm below this share of the value gained is within the error of the estimates. */
    private static final double NEGLIGIBLE_HARM = 0.02;

    private PlacementRules() {}

    /**
     * Returns whether to use a place now. One that costs others nothing is used as long as it is
     * worth the work that it displaces; one that costs them something only when waiting for a
     * better one would make this request late.
     */
    static boolean isWorthPlacing(PlacementRequest request, EngineOption option) {
        boolean onTime = option.firstNanos() - request.targetNanos() <= 0;
        double gain = request.value() * (onTime ? 1 : 1 - EngineChooser.LATE_LOSS);
        if (option.harm() <= NEGLIGIBLE_HARM * request.value()) {
            return option.displaced() <= gain;
        }
        long bound = onTime ? request.targetNanos() : request.latestStartNanos();
        boolean patienceEnds = bound - option.firstNanos() - PATIENCE_NANOS < 0;
        double accepted = onTime ? gain * EngineChooser.LATE_LOSS : gain;
        return patienceEnds && option.harm() + option.displaced() < accepted;
    }

    /** What a decision has already made late costs nothing the next time. */
    static void markHarmed(EngineOption option, long nowNanos) {
        option.parts().stream()
                .filter(part -> part.harm() > 0)
                .flatMap(part -> part.upstream().works().stream())
                .filter(work -> work.started() || work.expectedNanos() - nowNanos > 0)
                .forEach(PlacedWork::markLate);
    }
}
