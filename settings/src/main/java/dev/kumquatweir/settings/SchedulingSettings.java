package dev.kumquatweir.settings;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Optional parts of the scheduler, from the section {@code [scheduling]}. Immutable.
 *
 * @param teamSharing whether teams share scarce upstreams in proportion to their weights; empty to
 *     leave that to the requested features
 * @param learnedCosts whether the cost of requests is learned from their answers
 * @param domainBalance whether placements weigh the time of crossing between failure domains
 * @param memoryConfidence probability with which the requests on an engine have to fit into its
 *     memory, 0 for no margin; empty to leave that to the requested features
 * @param requestedFeatures what the deployment asks for, in the terms of the platform and as it
 *     lists them; empty if it asks for nothing
 */
public record SchedulingSettings(
        Optional<Boolean> teamSharing,
        boolean learnedCosts,
        boolean domainBalance,
        OptionalDouble memoryConfidence,
        String requestedFeatures) {
    /** All parts switched off. */
    public static final SchedulingSettings NONE =
            new SchedulingSettings(Optional.empty(), false, false, OptionalDouble.empty(), "");

    static SchedulingSettings read(TomlTable scheduling) {
        SchedulingSettings settings =
                new SchedulingSettings(
                        scheduling.has("team_sharing")
                                ? Optional.of(scheduling.flag("team_sharing", false))
                                : Optional.empty(),
                        scheduling.flag("learned_costs", false),
                        scheduling.flag("domain_balance", false),
                        memoryConfidence(scheduling),
                        scheduling.textOrEmpty("requested_features"));
        scheduling.refuseUnknownKeys();
        return settings;
    }

    private static OptionalDouble memoryConfidence(TomlTable scheduling) {
        double confidence = scheduling.decimal("memory_confidence", 0, 1, -1);
        return confidence < 0 ? OptionalDouble.empty() : OptionalDouble.of(confidence);
    }
}
