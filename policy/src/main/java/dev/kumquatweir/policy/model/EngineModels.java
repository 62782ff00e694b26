package dev.kumquatweir.policy.model;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.UpstreamRole;
import java.util.Set;

/**
 * An engine as the planner sees it. Immutable.
 *
 * @param upstream the engine
 * @param domain its failure domain
 * @param loaded what it has loaded or was ordered to load
 * @param modelSlots how many models it can hold; adapters take none
 * @param role its role
 * @param usable whether it may get work: live, not retired, its domain in service
 * @param loading whether an order to it is not finished
 */
public record EngineModels(
        UpstreamId upstream,
        FailureDomain domain,
        Set<ModelVariant> loaded,
        int modelSlots,
        UpstreamRole role,
        boolean usable,
        boolean loading) {
    /** Copies the set, so that the record is immutable. */
    public EngineModels {
        loaded = Set.copyOf(loaded);
    }
}
