package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.RoutingTable;
import java.util.Optional;

/** What an entry instance believes now. Read on its I/O thread. */
public interface ForwardingState {
    /** Returns the routing table in force, if one is known. */
    Optional<RoutingTable> routing();

    /** Returns the failure domain of this instance, which is that of its callers. */
    FailureDomain domain();

    /** Returns whether an upstream may still get new work as far as this instance has heard. */
    boolean acceptsRequests(UpstreamId upstream);
}
