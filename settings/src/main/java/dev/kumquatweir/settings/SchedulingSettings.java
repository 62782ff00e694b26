package dev.kumquatweir.settings;

/**
 * Optional parts of the scheduler, from the section {@code [scheduling]}. Immutable.
 *
 * @param teamSharing whether teams share scarce upstreams in proportion to their weights
 * @param learnedCosts whether the cost of requests is learned from their answers
 * @param domainBalance whether placements weigh the time of crossing between failure domains
 * @param memoryConfidence probability with which the requests on an engine have to fit into its
 *     memory; 0 for no margin
 */
public record SchedulingSettings(
        boolean teamSharing, boolean learnedCosts, boolean domainBalance, double memoryConfidence) {
    /** All parts switched off. */
    public static final SchedulingSettings NONE = new SchedulingSettings(false, false, false, 0);

    static SchedulingSettings read(TomlTable scheduling) {
        SchedulingSettings settings =
                new SchedulingSettings(
                        scheduling.flag("team_sharing", false),
                        scheduling.flag("learned_costs", false),
                        scheduling.flag("domain_balance", false),
                        scheduling.decimal("memory_confidence", 0, 1, 0));
        scheduling.refuseUnknownKeys();
        return settings;
    }
}
