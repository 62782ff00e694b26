package dev.kumquatweir.policy.model;

import dev.kumquatweir.core.identity.ModelName;
import org.jspecify.annotations.Nullable;

/**
 * A model in one version, or an adapter for it, that an engine can load. Immutable.
 *
 * @param model the model
 * @param version its version, null if it has none
 * @param adapter an adapter on top of the model, null for the model itself
 */
public record ModelVariant(ModelName model, @Nullable String version, @Nullable String adapter) {
    /** Returns the model that an adapter is based on, or the variant itself if it is a model. */
    public ModelVariant base() {
        return adapter == null ? this : new ModelVariant(model, version, null);
    }
}
