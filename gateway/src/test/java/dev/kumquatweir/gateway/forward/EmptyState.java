package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Knows neither routing nor upstreams. */
final class EmptyState implements ForwardingState {
    @Override
    public Optional<RoutingTable> routing() {
        return Optional.empty();
    }

    @Override
    public List<UpstreamStatus> upstreams() {
        return List.of();
    }

    @Override
    public List<String> carriers() {
        return List.of();
    }

    @Override
    public FailureDomain domain() {
        return new FailureDomain("a");
    }

    @Override
    public boolean acceptsRequests(UpstreamId upstream) {
        return true;
    }

    @Override
    public void recordResponse(UpstreamId upstream, UpstreamResponseHead head, long nowNanos) {}

    @Override
    public Set<UpstreamId> avoidedUpstreams(long nowNanos) {
        return Set.of();
    }
}
