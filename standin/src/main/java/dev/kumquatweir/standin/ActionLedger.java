package dev.kumquatweir.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The actions that a plain service has executed, counted by their key. Thread-safe. */
public final class ActionLedger {
    private final List<Action> mActions = new ArrayList<>();
    private final Map<String, Integer> mExecutions = new LinkedHashMap<>();

    /**
     * One executed action.
     *
     * @param number counts from 1
     * @param kind first part of the path, as {@code deposit-holds}
     * @param key key of the caller, empty if there was none
     */
    public record Action(long number, String kind, String key) {}

    /** Executes an action. Nothing is checked: each call is an execution of its own. */
    public synchronized Action execute(String kind, String key) {
        Action action = new Action(mActions.size() + 1L, kind, key);
        mActions.add(action);
        mExecutions.merge(key, 1, Integer::sum);
        return action;
    }

    /** Returns how often each key was executed. */
    public synchronized Map<String, Integer> executions() {
        return new LinkedHashMap<>(mExecutions);
    }

    /** Returns all executed actions, oldest first. */
    public synchronized List<Action> actions() {
        return List.copyOf(mActions);
    }
}
