package dev.kumquatweir.policy.model;

import java.util.List;

/** What a rollout does now. Implementations are immutable. */
public sealed interface RolloutDecision {
    /**
     * Send orders.
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
     * Nothing for now.
     *
     * @param reason what it waits for
     */
    record Wait(Reason reason) implements RolloutDecision {}

    /** All engines run the new version. */
    record Completed() implements RolloutDecision {}

    /**
     * The new version failed and no engine runs it any more. Record the old version as the wanted
     * one, so that a later leader does not start the rollout again.
     *
     * @param cause why it was stopped
     */
    record RolledBack(StopCause cause) implements RolloutDecision {}

    /** What a rollout waits for. */
    enum Reason {
        /** Engines are loading. */
        LOADING,
        /** The new version has not yet answered enough requests, or not for long enough. */
        EVIDENCE,
        /** Taking an engine would leave less than the profiles need. */
        CAPACITY,
        /** The weight store is used by others. */
        WEIGHT_STORE
    }

    /** Why a rollout was stopped. */
    enum StopCause {
        /** Its requests failed more often than those of the old version. */
        FAILURES,
        /** Its first tokens came late more often than those of the old version. */
        LATE_FIRST_TOKENS,
        /** Engines with the new version died. */
        DEATHS,
        /** Engines could not load it. */
        LOAD_FAILED,
        /** Operators stopped it. */
        OPERATORS
    }
}
