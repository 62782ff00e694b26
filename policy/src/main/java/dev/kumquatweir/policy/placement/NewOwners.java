package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells which instances have just started. Their first answers begin about 54 ms later than
 * expected, since their code is not compiled yet, which must not make an engine look slow for
 * seconds. Owned by {@link PlacedRequests}; not thread-safe.
 */
final class NewOwners {
    /** Number of answers after which the time of first events is that of the engine. */
    private static final int FIRST_ANSWERS = 2;

    /** Bounds the memory; there are at most some hundred instances at a time. */
    private static final int MAXIMUM_OWNERS = 4_096;

    private final Map<InstanceId, Integer> mAnswers = new HashMap<>();

    /**
     * Counts a first event that an instance has received, and returns whether its time depends on
     * the engine rather than on the instance.
     */
    boolean tellsPace(InstanceId owner) {
        int answers = mAnswers.getOrDefault(owner, 0);
        if (answers >= FIRST_ANSWERS) {
            return true;
        }
        if (mAnswers.size() >= MAXIMUM_OWNERS) {
            mAnswers.clear();
        }
        mAnswers.put(owner, answers + 1);
        return false;
    }

    /** Forgets an instance that is no longer reachable; its next process is new. */
    void remove(InstanceId owner) {
        mAnswers.remove(owner);
    }
}
