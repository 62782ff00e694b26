package dev.kumquatweir.core.routing;

import dev.kumquatweir.core.identity.ServiceName;
import java.util.Optional;

/**
 * A service that routes lead to. Immutable.
 *
 * @param name name of the service
 * @param coldRequestsPerSecond requests a second that a cold upstream bears, 0 if it bears any
 *     number
 * @param engineCost what its engines' work costs; empty for a plain service
 */
public record RoutedService(
        ServiceName name, double coldRequestsPerSecond, Optional<EngineCost> engineCost) {}
