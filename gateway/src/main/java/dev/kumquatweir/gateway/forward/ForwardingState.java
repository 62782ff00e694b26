package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Routing table and upstreams as currently known to an entry instance. Read on its I/O thread. */
public interface ForwardingState {
    /** Returns the current routing table, empty until one was received. */
    Optional<RoutingTable> routing();

    /** Returns the upstreams that are known and not gone. */
    List<UpstreamStatus> upstreams();

    /**
     * Returns the caller addresses of some other instances that reach upstreams, as {@code
     * ip:port}. May be called from any thread.
     */
    List<String> carriers();

    /** Returns the failure domain of this instance, which its callers share. */
    FailureDomain domain();

    /**
     * Returns whether an upstream accepts new requests according to its latest status; true if its
     * status is not known.
     */
    boolean acceptsRequests(UpstreamId upstream);

    /** Records what the head of an upstream's response says about further requests. */
    void recordResponse(UpstreamId upstream, UpstreamResponseHead head, long nowNanos);

    /** Returns the upstreams that have asked this instance for no further requests. */
    Set<UpstreamId> avoidedUpstreams(long nowNanos);
}
