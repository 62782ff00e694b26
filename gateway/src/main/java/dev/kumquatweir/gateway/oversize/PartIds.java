package dev.kumquatweir.gateway.oversize;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.policy.memory.AttemptIds;
import dev.kumquatweir.policy.memory.AttemptOrigin;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Makes the attempts of parts that have no answer, with numbers far above those that the policy
 * gives to whole attempts, so that no id is made twice. Thread-safe.
 */
public final class PartIds implements Supplier<AttemptId> {
    private static final long FIRST_NUMBER = 1_000_000_000_000_000L;

    private final InstanceId mInstance;
    private final long mIncarnation;
    private final AtomicLong mNext = new AtomicLong(FIRST_NUMBER);

    /** Starts with the first id of an incarnation of an instance. */
    public PartIds(InstanceId instance, long incarnation) {
        mInstance = instance;
        mIncarnation = incarnation;
    }

    @Override
    public AttemptId get() {
        return AttemptIds.idOf(new AttemptOrigin(mInstance, mIncarnation, mNext.getAndIncrement()));
    }
}
