package dev.kumquatweir.policy.model;

import dev.kumquatweir.core.identity.ModelName;
import org.jspecify.annotations.Nullable;

/**
 * What an engine can have loaded. Immutable.
 *
 * @param model the model
 * @param version its version, null if it has none
 * @param adapter an adapter on top of the model, null for the model itself
 */
public record ModelVariant(ModelName model, @Nullable String version, @Nullable String adapter) {
    /**
     * Returns the model that an adapter needs loaded, or the variant itself if it is no adapter.
     */
    public ModelVariant base() {
        return adapter == null ? this : new ModelVariant(model, version, null);
    }
}
