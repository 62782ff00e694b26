package dev.kumquatweir.policy.model;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.UpstreamRole;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

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

    /** Returns the engine as it is once it has carried out an order. */
    public EngineModels withOrderApplied(ModelOrder order) {
        return switch (order) {
            case ModelOrder.LoadModel load -> loaded(load.variant(), load.replaced(), role);
            case ModelOrder.LoadVersion load -> loaded(load.variant(), load.replaced(), role);
            case ModelOrder.LoadAdapter load -> loaded(load.variant(), null, role);
            case ModelOrder.SetRole changed -> loaded(null, null, changed.role());
        };
    }

    /** A model takes its adapters with it. */
    private EngineModels loaded(
            @Nullable ModelVariant added, @Nullable ModelVariant replaced, UpstreamRole newRole) {
        Set<ModelVariant> variants = new HashSet<>(loaded);
        variants.removeIf(variant -> variant.base().equals(replaced));
        if (added != null) {
            variants.add(added);
        }
        return new EngineModels(upstream, domain, variants, modelSlots, newRole, usable, false);
    }
}
