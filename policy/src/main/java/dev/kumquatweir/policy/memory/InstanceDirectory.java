package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The incarnations of the instances as one of them knows them. Not thread-safe: owned by the
 * dispatch duty.
 */
public final class InstanceDirectory {
    /** Silence after which an instance does not count as live. */
    public static final long LIVENESS_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long NONE = -1;

    private final Map<InstanceId, Entry> mEntries = new HashMap<>();
    private Set<InstanceId> mRemoved = Set.of();

    /**
     * Takes any word of an instance. A newer incarnation proves that the older ones are dead,
     * unless a lower one is heard after it: incarnations come from wall clocks, and one may have
     * been set back while the instance was down.
     */
    public void recordContact(InstanceId instance, long incarnation, long nowNanos) {
        Entry entry = mEntries.computeIfAbsent(instance, key -> new Entry(incarnation, nowNanos));
        if (incarnation >= entry.mIncarnation) {
            entry.mTerminated = entry.mTerminated && incarnation == entry.mIncarnation;
            entry.mIncarnation = incarnation;
            entry.mHeardNanos = nowNanos;
        } else {
            entry.mLowerIncarnation = incarnation;
            entry.mLowerHeardNanos = nowNanos;
        }
    }

    /**
     * Takes the instances that operators have removed, instead of those before. What a removed
     * instance left counts as dead unless the instance is still heard.
     */
    public void setRemoved(Set<InstanceId> instances) {
        mRemoved = Set.copyOf(instances);
    }

    /**
     * Takes proof that an incarnation has ended: its planned stop, or its removal by operators.
     * Silence, a lost connection or an expired lease are no proof.
     */
    public void recordTermination(InstanceId instance, long incarnation, long nowNanos) {
        Entry entry = mEntries.computeIfAbsent(instance, key -> new Entry(incarnation, nowNanos));
        if (incarnation >= entry.mIncarnation) {
            entry.mIncarnation = incarnation;
            entry.mTerminated = true;
        }
    }

    /** Returns what is known of an incarnation. One that was never heard of is silent. */
    public OwnerState state(InstanceId instance, long incarnation, long nowNanos) {
        Entry entry =
                mEntries.computeIfAbsent(
                        instance, key -> new Entry(incarnation, nowNanos - LIVENESS_TIMEOUT_NANOS));
        if (incarnation == entry.mLowerIncarnation) {
            return isRecent(entry.mLowerHeardNanos, nowNanos)
                    ? new OwnerState.Live()
                    : new OwnerState.Unresponsive();
        }
        if (incarnation < entry.mIncarnation
                || (incarnation == entry.mIncarnation && entry.mTerminated)) {
            return new OwnerState.Terminated();
        }
        if (incarnation > entry.mIncarnation) {
            // Its own word may not have arrived yet.
            entry.mIncarnation = incarnation;
            entry.mTerminated = false;
            entry.mHeardNanos = nowNanos;
        }
        if (isRecent(entry.mHeardNanos, nowNanos)) {
            return new OwnerState.Live();
        }
        return mRemoved.contains(instance)
                ? new OwnerState.Terminated()
                : new OwnerState.Unresponsive();
    }

    /** Returns the instances that were heard of recently. */
    public List<InstanceId> liveInstances(long nowNanos) {
        return mEntries.entrySet().stream()
                .filter(entry -> liveInstances(entry.getValue(), nowNanos))
                .map(Map.Entry::getKey)
                .toList();
    }

    private static boolean liveInstances(Entry entry, long nowNanos) {
        boolean lower =
                entry.mLowerIncarnation != NONE && isRecent(entry.mLowerHeardNanos, nowNanos);
        return lower || (!entry.mTerminated && isRecent(entry.mHeardNanos, nowNanos));
    }

    private static boolean isRecent(long heardNanos, long nowNanos) {
        return nowNanos - heardNanos < LIVENESS_TIMEOUT_NANOS;
    }

    private static final class Entry {
        private long mIncarnation;
        private long mHeardNanos;
        private boolean mTerminated;
        private long mLowerIncarnation = NONE;
        private long mLowerHeardNanos;

        Entry(long incarnation, long heardNanos) {
            mIncarnation = incarnation;
            mHeardNanos = heardNanos;
        }
    }
}
