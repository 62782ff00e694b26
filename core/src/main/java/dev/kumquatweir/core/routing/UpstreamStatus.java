package dev.kumquatweir.core.routing;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;

/**
 * What an upstream said of itself in one heartbeat. Immutable.
 *
 * @param id its identifier, which a later start may use again
 * @param startedAtMillis wall-clock time of its start in milliseconds since 1970, by its own clock;
 *     tells one start from another
 * @param service service that it belongs to
 * @param address where it is reached, as {@code ip:port}
 * @param domain its failure domain
 * @param slots requests that it works on at once
 * @param phase whether it takes work
 * @param coldRemainingMillis time for which it will still be cold, 0 if it is warm
 * @param sequence grows with each heartbeat of one start
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

    /** Returns whether this notice was made after another one of the same upstream. */
    public boolean isNewerThan(UpstreamStatus other) {
        return startedAtMillis != other.startedAtMillis
                ? startedAtMillis > other.startedAtMillis
                : sequence > other.sequence;
    }
}
