package dev.kumquatweir.agreement.lease;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The leader's table of configuration leases. Used by one thread.
 *
 * <p>Leases are granted only while no other leader can exist. A new leader grants at once, because
 * its configuration is the newest, but reports nothing as in force before every lease that an
 * earlier leader may have granted has expired.
 */
public final class ConfigurationLeaseTable {
    private final LeaseTimes mTimes;
    private final int mMaximumLeases;
    private final Map<Holder, Lease> mLeases = new LinkedHashMap<>();
    private boolean mLeading;
    private long mEarlierLeasesEndNanos;

    /**
     * Makes a table that does not lead.
     *
     * @param times times of the leases
     * @param limit most leases at a time; further instances are refused
     */
    public ConfigurationLeaseTable(LeaseTimes times, int limit) {
        mTimes = times;
        mMaximumLeases = limit;
    }

    /** One process of an instance; a restarted process is another holder. */
    private record Holder(InstanceId instance, long processNonce) {}

    private record Lease(long acknowledgedVersion, long endNanos) {}

    /** Begins a leadership; called when the replica becomes leader, with no delay after it. */
    public void beginLeadership(long nowNanos) {
        mLeases.clear();
        mLeading = true;
        mEarlierLeasesEndNanos = nowNanos + mTimes.leaseNanosWithDriftMargin();
    }

    /** Ends a leadership. */
    public void endLeadership() {
        mLeases.clear();
        mLeading = false;
    }

    /**
     * Answers an ask.
     *
     * @param request the ask
     * @param leaderLeaseNanos remaining leader lease of the replica at the given time
     * @param version newest applied version
     * @param document document of that version
     * @param nowNanos present time
     * @return the grant, empty if none may be given
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
        // Asks may arrive out of order; an acknowledgement is never taken back.
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

    /** Forgets the lease of a process that has stopped sending for good. */
    public void release(InstanceId instance, long processNonce) {
        mLeases.remove(new Holder(instance, processNonce));
    }

    /**
     * Returns whether a version is in force everywhere.
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
