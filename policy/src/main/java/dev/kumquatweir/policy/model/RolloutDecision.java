package dev.kumquatweir.policy.model;

import java.util.List;

/** Next step of a rollout. Implementations are immutable. */
public sealed interface RolloutDecision {
    /**
     * Send the orders.
     *
     * @param orders the orders, one for each engine
     */
    record SendOrders(List<ModelOrder> orders) implements RolloutDecision {
        /** Copies the list, so that the record is immutable. */
        public SendOrders {
            orders = List.copyOf(orders);
        }
    }

    /**
     * Do nothing yet.
     *
     * @param reason what it waits for
     */
    record Wait(Reason reason) implements RolloutDecision {}

    /** All engines run the new version. */
    record Completed() implements RolloutDecision {}

    /**
     * The new version failed and no engine runs it any more. Record the old version as the target,
     * so that a later leader does not restart the rollout.
     *
     * @param cause why the rollout was stopped
     */
    record RolledBack(StopCause cause) implements RolloutDecision {}

    /** What a rollout waits for. */
    enum Reason {
        /** Engines are loading a version. */
        LOADING,
        /** The new version has not yet answered enough requests, or not for long enough. */
        EVIDENCE,
        /** Updating an engine would leave fewer engines than the profiles need. */
        CAPACITY,
        /** No permit for the weight store is available. */
        WEIGHT_STORE
    }

    /** Why a rollout was stopped. */
    enum StopCause {
        /** Requests on the new version failed more often than on the old one. */
        FAILURES,
        /** First tokens of the new version were late more often than those of the old one. */
        LATE_FIRST_TOKENS,
        /** Engines with the new version crashed. */
        DEATHS,
        /** Engines failed to load the new version. */
        LOAD_FAILED,
        /** An operator stopped the rollout. */
        OPERATORS
    }
}
