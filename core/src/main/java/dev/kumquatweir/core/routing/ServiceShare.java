package dev.kumquatweir.core.routing;

import dev.kumquatweir.core.identity.ServiceName;

/**
 * Share of a route's requests that a service gets. Immutable.
 *
 * @param service the service
 * @param weight weight relative to the other shares of the route, not negative
 */
public record ServiceShare(ServiceName service, int weight) {}
