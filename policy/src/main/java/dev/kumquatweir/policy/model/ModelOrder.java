package dev.kumquatweir.policy.model;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.UpstreamRole;
import org.jspecify.annotations.Nullable;

/** An order to an engine, sent with the fencing number. Implementations are immutable. */
public sealed interface ModelOrder {
    /** Returns the engine. */
    UpstreamId upstream();

    /**
     * Load a model.
     *
     * @param upstream the engine
     * @param variant what to load
     * @param replaced the model that gives up its place, null if there is room
     */
    record LoadModel(UpstreamId upstream, ModelVariant variant, @Nullable ModelVariant replaced)
            implements ModelOrder {}

    /**
     * Load another version of a model in the place of the one that is loaded.
     *
     * @param upstream the engine
     * @param variant the version to load
     * @param replaced the version that is loaded
     */
    record LoadVersion(UpstreamId upstream, ModelVariant variant, ModelVariant replaced)
            implements ModelOrder {}

    /**
     * Load an adapter next to its model.
     *
     * @param upstream the engine
     * @param variant the adapter
     */
    record LoadAdapter(UpstreamId upstream, ModelVariant variant) implements ModelOrder {}

    /**
     * Take another role. Needs no load from the weight store.
     *
     * @param upstream the engine
     * @param role the role
     */
    record SetRole(UpstreamId upstream, UpstreamRole role) implements ModelOrder {}
}
