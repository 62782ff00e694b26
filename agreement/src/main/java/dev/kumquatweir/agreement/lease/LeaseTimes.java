package dev.kumquatweir.agreement.lease;

import java.util.concurrent.TimeUnit;

/**
 * Times of configuration leases, the same on all instances.
 *
 * @param leaseNanos how long a lease lasts from when it was asked for
 * @param requestIntervalNanos time between two asks
 */
public record LeaseTimes(long leaseNanos, long requestIntervalNanos) {
    /** Lease of 1.5 s, asked for every 300 ms. */
    public static final LeaseTimes STANDARD =
            new LeaseTimes(
                    TimeUnit.MILLISECONDS.toNanos(1_500), TimeUnit.MILLISECONDS.toNanos(300));

    /**
     * Returns how long the leader counts a lease, from when it granted. It adds a twentieth for an
     * instance whose clock runs slower than the leader's.
     */
    public long leaseNanosWithDriftMargin() {
        return leaseNanos + leaseNanos / 20;
    }
}
