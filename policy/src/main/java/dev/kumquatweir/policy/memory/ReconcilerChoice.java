package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the instance that searches an engine for orphans, by rendezvous hashing, so that 360
 * instances do not each list 2,400 engines. Two instances with different views of the live
 * instances may reconcile the same engine; this is safe because a cancel is idempotent.
 * Thread-safe: holds no state.
 */
public final class ReconcilerChoice {
    private ReconcilerChoice() {}

    /** Returns the instance that reconciles an engine, or empty if there are no instances. */
    public static Optional<InstanceId> choose(
            UpstreamId upstream, Collection<InstanceId> instances) {
        Comparator<InstanceId> byScore =
                Comparator.comparingLong(instance -> score(upstream, instance));
        return instances.stream().max(byScore.thenComparing(Comparator.naturalOrder()));
    }

    /** Hashes both names with the finalizer of MurmurHash3. */
    private static long score(UpstreamId upstream, InstanceId instance) {
        long mixed = upstream.value().hashCode() * 31L + instance.value().hashCode();
        mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
