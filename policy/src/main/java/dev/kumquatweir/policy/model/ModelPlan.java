package dev.kumquatweir.policy.model;

import java.util.List;
import java.util.Map;

/**
 * What the engines of a service should do now. Immutable.
 *
 * @param orders orders to send
 * @param unmet engines that are missing for a variant once the orders are done: for want of
 *     permits, of room, or of engines
 */
public record ModelPlan(List<ModelOrder> orders, Map<ModelVariant, Integer> unmet) {
    /** Copies both, so that the record is immutable. */
    public ModelPlan {
        orders = List.copyOf(orders);
        unmet = Map.copyOf(unmet);
    }
}
