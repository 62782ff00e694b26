package dev.kumquatweir.policy.model;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.UpstreamRole;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * State of an engine for model planning. Immutable.
 *
 * @param upstream the engine
 * @param domain its failure domain
 * @param loaded variants that it has loaded or was ordered to load
 * @param modelSlots number of models it can load; adapters need no slot
 * @param role generation phases it executes
 * @param usable whether it may take work: live, not retired, and its failure domain in service
 * @param loading whether an order to it is in progress
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

    /** Returns the state of the engine after it has executed an order. */
    public EngineModels withOrderApplied(ModelOrder order) {
        return switch (order) {
            case ModelOrder.LoadModel load -> loaded(load.variant(), load.replaced(), role);
            case ModelOrder.LoadVersion load -> loaded(load.variant(), load.replaced(), role);
            case ModelOrder.LoadAdapter load -> loaded(load.variant(), null, role);
            case ModelOrder.SetRole changed -> loaded(null, null, changed.role());
        };
    }

    /** Replacing a model also unloads its adapters. */
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
