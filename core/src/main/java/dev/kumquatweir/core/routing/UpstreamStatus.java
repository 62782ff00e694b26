package dev.kumquatweir.core.routing;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;

/**
 * Status of an upstream as reported in one heartbeat. Immutable.
 *
 * @param id identifier of the upstream; a restarted process may use it again
 * @param startedAtMillis start of the process by its own wall clock, in milliseconds since 1970;
 *     distinguishes a restarted process from its predecessor
 * @param service service that it belongs to
 * @param address network address, as {@code ip:port}
 * @param domain its failure domain
 * @param slots number of requests that it executes concurrently
 * @param phase whether it accepts requests
 * @param coldRemainingMillis remaining warm-up time, 0 if it is warm
 * @param sequence heartbeat number, ascending within one run of the process
 */
public record UpstreamStatus(
        UpstreamId id,
        long startedAtMillis,
        ServiceName service,
        String address,
        FailureDomain domain,
        int slots,
        UpstreamPhase phase,
        long coldRemainingMillis,
        long sequence) {

    /**
     * Returns whether this status replaces the other one of the same upstream. A departure is final
     * for the start that it belongs to: it has no heartbeat number of its own, and a heartbeat that
     * another instance has received later doesn't revoke it.
     */
    public boolean isNewerThan(UpstreamStatus other) {
        if (startedAtMillis != other.startedAtMillis) {
            return startedAtMillis > other.startedAtMillis;
        }
        if (phase == UpstreamPhase.GONE || other.phase == UpstreamPhase.GONE) {
            return other.phase != UpstreamPhase.GONE;
        }
        return sequence > other.sequence;
    }
}
