package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.http.BodyMemory;
import dev.kumquatweir.gateway.upstream.UpstreamClients;

/**
 * Dependencies of forwarding.
 *
 * @param state routing table and upstreams as known to this instance
 * @param placement assigns requests to upstreams
 * @param reservations reserves memory of engines
 * @param dialect encodes and decodes the headers of callers and upstreams
 * @param clients HTTP clients for upstreams
 * @param reach whether this instance reaches upstreams
 * @param requestMemory shared by the bodies of the requests that are not yet answered
 * @param responseMemory shared by the responses that are collected before they are passed on
 * @param clocks clocks of the process
 */
public record ForwardingPorts(
        ForwardingState state,
        PlacementPort placement,
        ReservationPort reservations,
        RequestDialect dialect,
        UpstreamClients clients,
        ReachMonitor reach,
        BodyMemory requestMemory,
        BodyMemory responseMemory,
        Clocks clocks) {}
