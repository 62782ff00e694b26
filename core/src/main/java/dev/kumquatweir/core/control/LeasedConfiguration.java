package dev.kumquatweir.core.control;

import dev.kumquatweir.core.configuration.ConfigurationDocument;

/**
 * A configuration and the end of the lease under which an instance may use it. Immutable.
 *
 * @param version version of the document, from 1; 0 before the first
 * @param document the document
 * @param leaseEndNanos monotonic time from which on the instance must send no new requests
 */
public record LeasedConfiguration(
        long version, ConfigurationDocument document, long leaseEndNanos) {

    /** Returns whether the lease is valid, so that new requests may be sent under this document. */
    public boolean inForce(long nowNanos) {
        return nowNanos - leaseEndNanos < 0;
    }
}
