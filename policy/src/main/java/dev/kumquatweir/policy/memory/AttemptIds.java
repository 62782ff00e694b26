package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.InstanceId;

/**
 * Makes the ids of an instance's attempts. An id is never made twice, as the incarnation grows with
 * each start. Not thread-safe: owned by the dispatch duty.
 */
public final class AttemptIds {
    private final InstanceId mInstance;
    private final long mIncarnation;
    private long mNext;

    /**
     * Starts with the first id of an incarnation.
     *
     * @param instance the instance; its name has no slash, which ends the id in an export's handle
     * @param incarnation incarnation of the instance, 0 or more
     */
    public AttemptIds(InstanceId instance, long incarnation) {
        if (incarnation < 0) {
            throw new IllegalArgumentException("incarnation " + incarnation + " is below 0");
        }
        if (instance.value().indexOf('/') >= 0) {
            throw new IllegalArgumentException("instance name " + instance + " has a slash");
        }
        mInstance = instance;
        mIncarnation = incarnation;
    }

    /** Returns a new id. */
    public AttemptId next() {
        return new AttemptOrigin(mInstance, mIncarnation, mNext++).attemptId();
    }
}
