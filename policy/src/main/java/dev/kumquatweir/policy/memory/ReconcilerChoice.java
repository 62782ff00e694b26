package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses which instance looks for orphans on an engine, by rendezvous hashing, so that 360
 * instances do not each list 2,400 engines. Two instances with different views may both do it: a
 * second cancel does no harm. Thread-safe: holds no state.
 */
public final class ReconcilerChoice {
    private ReconcilerChoice() {}

    /** Returns the instance that reconciles an engine, or nothing if none is live. */
    public static Optional<InstanceId> choose(
            UpstreamId upstream, Collection<InstanceId> instances) {
        Comparator<InstanceId> byScore =
                Comparator.comparingLong(instance -> score(upstream, instance));
        return instances.stream().max(byScore.thenComparing(Comparator.naturalOrder()));
    }

    /** Mixes both names with the finalizer of MurmurHash3. */
    private static long score(UpstreamId upstream, InstanceId instance) {
        long mixed = upstream.value().hashCode() * 31L + instance.value().hashCode();
        mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
