package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The incarnations of the instances as one of them knows them. Not thread-safe: owned by the
 * dispatch duty.
 */
public final class InstanceDirectory {
    /** Silence after which an instance does not count as live. */
    public static final long LIVE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Map<InstanceId, Entry> mEntries = new HashMap<>();

    /** Takes any word of an instance. A newer incarnation proves that the older ones are dead. */
    public void heard(InstanceId instance, long incarnation, long nowNanos) {
        Entry entry = mEntries.computeIfAbsent(instance, key -> new Entry(incarnation, nowNanos));
        if (incarnation >= entry.mIncarnation) {
            entry.mDead = entry.mDead && incarnation == entry.mIncarnation;
            entry.mIncarnation = incarnation;
            entry.mHeardNanos = nowNanos;
        }
    }

    /**
     * Takes proof that an incarnation has ended: its planned stop, or its removal by operators.
     * Silence, a lost connection or an expired lease are no proof.
     */
    public void died(InstanceId instance, long incarnation, long nowNanos) {
        Entry entry = mEntries.computeIfAbsent(instance, key -> new Entry(incarnation, nowNanos));
        if (incarnation >= entry.mIncarnation) {
            entry.mIncarnation = incarnation;
            entry.mDead = true;
        }
    }

    /** Returns what is known of an incarnation. One that was never heard of is silent. */
    public OwnerState state(InstanceId instance, long incarnation, long nowNanos) {
        Entry entry =
                mEntries.computeIfAbsent(
                        instance, key -> new Entry(incarnation, nowNanos - LIVE_NANOS));
        if (incarnation < entry.mIncarnation
                || (incarnation == entry.mIncarnation && entry.mDead)) {
            return new OwnerState.Dead();
        }
        if (incarnation > entry.mIncarnation) {
            // Its own word may not have arrived yet.
            entry.mIncarnation = incarnation;
            entry.mDead = false;
            entry.mHeardNanos = nowNanos;
        }
        return nowNanos - entry.mHeardNanos < LIVE_NANOS
                ? new OwnerState.Live()
                : new OwnerState.Silent();
    }

    /** Returns the instances that were heard of recently. */
    public List<InstanceId> live(long nowNanos) {
        return mEntries.entrySet().stream()
                .filter(entry -> !entry.getValue().mDead)
                .filter(entry -> nowNanos - entry.getValue().mHeardNanos < LIVE_NANOS)
                .map(Map.Entry::getKey)
                .toList();
    }

    private static final class Entry {
        private long mIncarnation;
        private long mHeardNanos;
        private boolean mDead;

        Entry(long incarnation, long heardNanos) {
            mIncarnation = incarnation;
            mHeardNanos = heardNanos;
        }
    }
}
