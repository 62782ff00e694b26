package dev.kumquatweir.policy.model;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.UpstreamRole;
import org.jspecify.annotations.Nullable;

/** An order to an engine, sent with a fencing token. Implementations are immutable. */
public sealed interface ModelOrder {
    /** Returns the engine. */
    UpstreamId upstream();

    /**
     * Load a model.
     *
     * @param upstream the engine
     * @param variant what to load
     * @param replaced the model to unload, null if a slot is free
     */
    record LoadModel(UpstreamId upstream, ModelVariant variant, @Nullable ModelVariant replaced)
            implements ModelOrder {}

    /**
     * Replace the loaded version of a model by another one.
     *
     * @param upstream the engine
     * @param variant the version to load
     * @param replaced the version to unload
     */
    record LoadVersion(UpstreamId upstream, ModelVariant variant, ModelVariant replaced)
            implements ModelOrder {}

    /**
     * Load an adapter for a loaded model.
     *
     * @param upstream the engine
     * @param variant the adapter
     */
    record LoadAdapter(UpstreamId upstream, ModelVariant variant) implements ModelOrder {}

    /**
     * Change the role. Loads nothing from the weight store.
     *
     * @param upstream the engine
     * @param role the new role
     */
    record SetRole(UpstreamId upstream, UpstreamRole role) implements ModelOrder {}
}
