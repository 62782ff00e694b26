package dev.kumquatweir.agreement.lease;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The leader's table of configuration leases. Not thread-safe.
 *
 * <p>Leases are granted only under a valid leader lease, when no other leader can exist. A new
 * leader grants leases immediately, because its configuration is the newest, but reports no version
 * as in force until every lease that an earlier leader may have granted has expired.
 */
public final class ConfigurationLeaseTable {
    private final LeaseTimes mTimes;
    private final int mMaximumLeases;
    private final Map<Holder, Lease> mLeases = new LinkedHashMap<>();
    private boolean mLeading;
    private long mEarlierLeasesEndNanos;

    /**
     * Creates the table of a replica that is not leader.
     *
     * @param times length and request interval of the leases
     * @param limit maximum number of leases at a time; requests of further instances are refused
     */
    public ConfigurationLeaseTable(LeaseTimes times, int limit) {
        mTimes = times;
        mMaximumLeases = limit;
    }

    /** Process of an instance; a restarted process is a different holder. */
    private record Holder(InstanceId instance, long processNonce) {}

    private record Lease(long acknowledgedVersion, long endNanos) {}

    /** Starts granting leases. Call it as soon as the replica becomes leader, without delay. */
    public void beginLeadership(long nowNanos) {
        mLeases.clear();
        mLeading = true;
        mEarlierLeasesEndNanos = nowNanos + mTimes.leaseNanosWithDriftMargin();
    }

    /** Stops granting leases. Call it when the replica ceases to be leader. */
    public void endLeadership() {
        mLeases.clear();
        mLeading = false;
    }

    /**
     * Decides a lease request.
     *
     * @param request the request
     * @param leaderLeaseNanos remaining leader lease of the replica at the given time
     * @param version newest applied configuration version
     * @param document document of that version
     * @param nowNanos present monotonic time
     * @return the grant, empty if the request is refused
     */
    public Optional<LeaseGrant> grant(
            LeaseRequest request,
            long leaderLeaseNanos,
            long version,
            Bytes document,
            long nowNanos) {
        removeExpired(nowNanos);
        var holder = new Holder(request.instance(), request.processNonce());
        Lease existing = mLeases.get(holder);
        boolean full = existing == null && mLeases.size() >= mMaximumLeases;
        if (!mLeading || leaderLeaseNanos <= 0 || request.acknowledgedVersion() > version || full) {
            return Optional.empty();
        }
        // Requests may arrive out of order, so the acknowledged version must not decrease.
        long acknowledged =
                existing == null
                        ? request.acknowledgedVersion()
                        : Math.max(existing.acknowledgedVersion(), request.acknowledgedVersion());
        mLeases.put(holder, new Lease(acknowledged, nowNanos + mTimes.leaseNanosWithDriftMargin()));
        Optional<Bytes> newer =
                request.acknowledgedVersion() < version ? Optional.of(document) : Optional.empty();
        return Optional.of(
                new LeaseGrant(
                        request.instance(),
                        request.processNonce(),
                        request.requestId(),
                        version,
                        newer,
                        mTimes.leaseNanos()));
    }

    /** Removes the lease of a process that will send no more requests to upstreams. */
    public void release(InstanceId instance, long processNonce) {
        mLeases.remove(new Holder(instance, processNonce));
    }

    /**
     * Returns whether a version is in force on all instances.
     *
     * @param version a version that this leader has applied
     */
    public RolloutStatus status(long version, long nowNanos) {
        if (!mLeading) {
            return new RolloutStatus.NotLeading();
        }
        removeExpired(nowNanos);
        TreeSet<InstanceId> behind = new TreeSet<>();
        long remaining = mEarlierLeasesEndNanos - nowNanos;
        for (Map.Entry<Holder, Lease> entry : mLeases.entrySet()) {
            if (entry.getValue().acknowledgedVersion() < version) {
                behind.add(entry.getKey().instance());
                remaining = Math.max(remaining, entry.getValue().endNanos() - nowNanos);
            }
        }
        return remaining <= 0 && behind.isEmpty()
                ? new RolloutStatus.InForce()
                : new RolloutStatus.Waiting(behind, nowNanos + remaining);
    }

    private void removeExpired(long nowNanos) {
        mLeases.values().removeIf(lease -> nowNanos - lease.endNanos() >= 0);
    }
}
