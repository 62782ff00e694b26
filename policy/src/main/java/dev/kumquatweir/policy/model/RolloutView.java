package dev.kumquatweir.policy.model;

import java.util.Collection;
import java.util.List;

/**
 * State of the engines that a rollout acts on. Immutable.
 *
 * @param engines engines of the service that run the old or the new version, or load one of them
 * @param neededEngines engines that the profiles need
 * @param loadPermits loads from the weight store that may start now
 */
public record RolloutView(Collection<EngineModels> engines, int neededEngines, int loadPermits) {
    /** Copies the engines, so that the record is immutable. */
    public RolloutView {
        engines = List.copyOf(engines);
    }
}
