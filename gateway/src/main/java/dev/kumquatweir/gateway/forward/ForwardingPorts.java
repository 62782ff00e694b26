package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.upstream.UpstreamClients;

/**
 * What forwarding builds on.
 *
 * @param state what the instance believes
 * @param placement gives requests to upstreams
 * @param reservations sets memory of engines aside
 * @param dialect header names of callers and upstreams
 * @param clients connections to upstreams
 * @param clocks clocks of the process
 */
public record ForwardingPorts(
        ForwardingState state,
        PlacementPort placement,
        ReservationPort reservations,
        RequestDialect dialect,
        UpstreamClients clients,
        Clocks clocks) {}
