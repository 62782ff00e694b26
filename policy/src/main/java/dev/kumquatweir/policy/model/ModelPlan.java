package dev.kumquatweir.policy.model;

import java.util.List;
import java.util.Map;

/**
 * Orders to the engines of a service, and the demand that they leave unmet. Immutable.
 *
 * @param orders orders to send
 * @param unmet number of engines that each variant still lacks after the orders, for lack of
 *     permits, model slots or engines
 */
public record ModelPlan(List<ModelOrder> orders, Map<ModelVariant, Integer> unmet) {
    /** Copies both, so that the record is immutable. */
    public ModelPlan {
        orders = List.copyOf(orders);
        unmet = Map.copyOf(unmet);
    }
}
