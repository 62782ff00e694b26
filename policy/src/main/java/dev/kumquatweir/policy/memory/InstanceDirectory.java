package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One instance's view of the other instances: their incarnations, and whether these are live. Used
 * to decide whether the owner of an attempt may still need it. Not thread-safe: owned by the event
 * loop that owns the {@link MemoryLedger}.
 */
public final class InstanceDirectory {
    /** Time without a message after which an instance no longer counts as live. */
    public static final long LIVENESS_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long NONE = -1;

    private final Map<InstanceId, Entry> mEntries = new HashMap<>();
    private Set<InstanceId> mRemoved = Set.of();

    /**
     * Records a message from an instance. A higher incarnation proves that the lower ones have
     * terminated, unless a message with a lower one arrives after it: incarnations are derived from
     * the wall clock, which may have been set back while the instance was down.
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
     * Replaces the set of instances that operators have removed. A removed instance counts as
     * terminated unless messages from it still arrive.
     */
    public void setRemoved(Set<InstanceId> instances) {
        mRemoved = Set.copyOf(instances);
    }

    /**
     * Records that an incarnation is known to have terminated, by a planned stop or by its removal
     * by operators. Missing messages, a lost connection or an expired lease do not prove that.
     */
    public void recordTermination(InstanceId instance, long incarnation, long nowNanos) {
        Entry entry = mEntries.computeIfAbsent(instance, key -> new Entry(incarnation, nowNanos));
        if (incarnation >= entry.mIncarnation) {
            entry.mIncarnation = incarnation;
            entry.mTerminated = true;
        }
    }

    /** Returns the state of an incarnation; one that never sent a message is unresponsive. */
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
            // The first message from a new incarnation may not have arrived yet.
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

    /** Returns the instances from which a message arrived within the liveness timeout. */
    public List<InstanceId> liveInstances(long nowNanos) {
        return mEntries.entrySet().stream()
                .filter(entry -> isLive(entry.getValue(), nowNanos))
                .map(Map.Entry::getKey)
                .toList();
    }

    private static boolean isLive(Entry entry, long nowNanos) {
        boolean lowerIsLive =
                entry.mLowerIncarnation != NONE && isRecent(entry.mLowerHeardNanos, nowNanos);
        return lowerIsLive || (!entry.mTerminated && isRecent(entry.mHeardNanos, nowNanos));
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
