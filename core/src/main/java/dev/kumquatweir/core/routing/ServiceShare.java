package dev.kumquatweir.core.routing;

import dev.kumquatweir.core.identity.ServiceName;

/**
 * The part of a route's requests that a service gets.
 *
 * @param service the service
 * @param weight its weight among the shares of the route, not negative
 */
public record ServiceShare(ServiceName service, int weight) {}
