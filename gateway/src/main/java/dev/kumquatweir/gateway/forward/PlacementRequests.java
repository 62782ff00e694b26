package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.Route;
import dev.kumquatweir.core.routing.RoutedTeam;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementRequest;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Builds the placement requests of forwarded requests. Holds no state. */
final class PlacementRequests {
    private PlacementRequests() {}

    /** Returns the placement request for the first event of an answer. */
    static PlacementRequest first(
            PlacementKey key,
            ForwardedRequest request,
            ForwardingPorts ports,
            Set<UpstreamId> triedUpstreams,
            boolean retry,
            long nowNanos) {
        Route route = request.route();
        return builder(key, request, ports, 1)
                .times(
                        request.arrivedNanos() + millisToNanos(route.targetLatencyMillis()),
                        request.arrivedNanos() + callerTimeoutNanos(request, ports),
                        request.deadlineNanos())
                .previousAttempts(excluded(triedUpstreams, ports, nowNanos), retry)
                .build();
    }

    /** Returns the placement request for the rest of a stream that has lost its upstream. */
    static PlacementRequest resumed(
            PlacementKey key,
            ForwardedRequest request,
            ForwardingPorts ports,
            Set<UpstreamId> triedUpstreams,
            long lastEventNanos,
            long nowNanos) {
        return builder(key, request, ports, StopAdmission.RESUMED_OUTPUT_SHARE)
                .times(
                        nowNanos + millisToNanos(request.route().targetGapMillis()),
                        lastEventNanos + callerTimeoutNanos(request, ports),
                        request.deadlineNanos())
                .previousAttempts(excluded(triedUpstreams, ports, nowNanos), true)
                .build();
    }

    private static Set<UpstreamId> excluded(
            Set<UpstreamId> triedUpstreams, ForwardingPorts ports, long nowNanos) {
        Set<UpstreamId> excluded = new HashSet<>(ports.state().avoidedUpstreams(nowNanos));
        excluded.addAll(triedUpstreams);
        return excluded;
    }

    private static PlacementRequest.Builder builder(
            PlacementKey key, ForwardedRequest request, ForwardingPorts ports, double outputShare) {
        CallerRequestHead head = request.head();
        return PlacementRequest.builder(key, head.requestId(), request.service())
                .contentHash(request.contentHash())
                .sharedParts(head.sharedParts())
                .generation(
                        head.promptTokens(),
                        (long) (head.expectedOutputTokens() * outputShare),
                        request.route().targetGapMillis())
                .origin(request.team().map(RoutedTeam::name).orElse(""), request.route().name())
                .output(head.outputLimitTokens(), head.outputHintTokens())
                .priority(request.priority())
                .domain(ports.state().domain());
    }

    private static long callerTimeoutNanos(ForwardedRequest request, ForwardingPorts ports) {
        return millisToNanos(ports.dialect().callerTimeoutMillis(request.route()));
    }

    private static long millisToNanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
