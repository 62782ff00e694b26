package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Current incarnation of each instance, in the order of their starts; bounded. Deterministic. Owned
 * and called by the {@link StateMachine}; not thread-safe.
 */
final class InstanceTable {
    private final int mMaximumInstances;
    private final Map<InstanceId, InstanceStart> mStarts = new LinkedHashMap<>();

    InstanceTable(int limit) {
        mMaximumInstances = limit;
    }

    Collection<InstanceStart> starts() {
        return mStarts.values();
    }

    void restore(Collection<InstanceStart> starts) {
        starts.forEach(start -> mStarts.put(start.instance(), start));
    }

    StateResult start(StateCommand.StartInstance command, long index) {
        InstanceStart existing = mStarts.get(command.instance());
        if (existing != null && existing.nonce() == command.nonce()) {
            return new StateResult.InstanceStarted(existing.incarnation());
        }
        mStarts.remove(command.instance());
        mStarts.put(
                command.instance(), new InstanceStart(command.instance(), command.nonce(), index));
        if (mStarts.size() > mMaximumInstances) {
            mStarts.remove(mStarts.keySet().iterator().next());
        }
        return new StateResult.InstanceStarted(index);
    }

    boolean isCurrent(Claimant claimant) {
        InstanceStart start = mStarts.get(claimant.instance());
        return start != null && start.incarnation() == claimant.incarnation();
    }

    /**
     * Returns the claimant with this table's instance id object, so that claims share it in memory.
     */
    Claimant canonical(Claimant claimant) {
        InstanceStart start = mStarts.get(claimant.instance());
        return start == null
                ? claimant
                : new Claimant(claimant.requestId(), start.instance(), claimant.incarnation());
    }
}
