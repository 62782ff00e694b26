package dev.kumquatweir.core.routing;

import dev.kumquatweir.core.identity.ServiceName;
import java.util.Optional;

/**
 * A service that is the target of routes. Immutable.
 *
 * @param name name of the service
 * @param coldRequestsPerSecond requests per second that a cold upstream can take, 0 for no limit
 * @param engineCost cost model of its engines; empty for a plain HTTP service
 * @param domainDelays times between the failure domains of its callers and its upstreams
 */
public record RoutedService(
        ServiceName name,
        double coldRequestsPerSecond,
        Optional<EngineCost> engineCost,
        DomainDelays domainDelays) {

    /** Creates a service for which no delays between failure domains are known. */
    public RoutedService(
            ServiceName name, double coldRequestsPerSecond, Optional<EngineCost> engineCost) {
        this(name, coldRequestsPerSecond, engineCost, DomainDelays.NONE);
    }
}
