package dev.kumquatweir.agreement.lease;

import java.util.concurrent.TimeUnit;

/**
 * Length and request interval of configuration leases, the same on all instances. Immutable.
 *
 * @param leaseNanos length of a lease, counted from when the instance sent the request
 * @param requestIntervalNanos interval between two lease requests
 */
public record LeaseTimes(long leaseNanos, long requestIntervalNanos) {
    /** Lease of 1.5 s, renewed every 300 ms. */
    public static final LeaseTimes STANDARD =
            new LeaseTimes(
                    TimeUnit.MILLISECONDS.toNanos(1_500), TimeUnit.MILLISECONDS.toNanos(300));

    /**
     * Returns how long the leader treats a lease as valid, counted from the grant. The extra 1/20
     * covers an instance whose clock runs slower than the leader's.
     */
    public long leaseNanosWithDriftMargin() {
        return leaseNanos + leaseNanos / 20;
    }
}
