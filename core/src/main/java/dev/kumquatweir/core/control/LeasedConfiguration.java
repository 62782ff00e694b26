package dev.kumquatweir.core.control;

import dev.kumquatweir.core.configuration.ConfigurationDocument;

/**
 * The configuration an instance may serve under, and until when. Immutable.
 *
 * @param version version of the document, from 1; 0 before any was applied
 * @param document the document
 * @param leaseEndNanos monotonic time at which the instance must stop giving out new work
 */
public record LeasedConfiguration(
        long version, ConfigurationDocument document, long leaseEndNanos) {

    /** Returns whether new work may be sent under this document at the given time. */
    public boolean inForce(long nowNanos) {
        return nowNanos - leaseEndNanos < 0;
    }
}
