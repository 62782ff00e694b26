package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.policy.sharing.ServiceSharing;
import dev.kumquatweir.policy.sharing.ShareEntry;
import dev.kumquatweir.policy.sharing.ShareTurn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Orders the waiting requests of overloaded services by the shares of their teams. Without overload
 * the order is that of {@link WaitingOrder}. Owned by {@link WaitingRequests}; not thread-safe.
 */
final class TeamOrder {
    private final boolean mEnabled;
    private final Map<ServiceName, ServiceSharing> mServices = new HashMap<>();
    private @Nullable RoutingTable mRouting;

    /**
     * @param enabled whether teams share scarce upstreams; if not, nothing is recorded
     */
    TeamOrder(boolean enabled) {
        mEnabled = enabled;
    }

    void setRouting(RoutingTable routing) {
        mRouting = routing;
    }

    /** Sorts requests whose round has begun into the order in which they are placed. */
    List<WaitingRequest> sort(List<WaitingRequest> waiting, long nowNanos) {
        Map<Boolean, List<WaitingRequest>> byOverload =
                waiting.stream()
                        .collect(
                                Collectors.partitioningBy(
                                        request -> overloaded(request.request(), nowNanos)));
        List<WaitingRequest> ordered = new ArrayList<>(byOverload.getOrDefault(false, List.of()));
        ordered.sort(WaitingOrder.COMPARATOR);
        Map<ServiceName, List<WaitingRequest>> byService =
                byOverload.getOrDefault(true, List.of()).stream()
                        .collect(Collectors.groupingBy(request -> request.request().service()));
        byService.forEach(
                (service, requests) ->
                        ordered.addAll(sortByShare(sharing(service), requests, nowNanos)));
        return ordered;
    }

    private static List<WaitingRequest> sortByShare(
            ServiceSharing sharing, List<WaitingRequest> requests, long nowNanos) {
        List<ShareEntry<WaitingRequest>> entries = requests.stream().map(TeamOrder::entry).toList();
        List<WaitingRequest> ordered = new ArrayList<>(requests.size());
        for (ShareTurn<WaitingRequest> turn :
                sharing.order(entries, waiting -> waiting.request().priority())) {
            WaitingRequest waiting = turn.item();
            waiting.setTurn(sharing.waitNanos(turn.workAhead(), nowNanos), turn.lateAhead());
            ordered.add(waiting);
        }
        return ordered;
    }

    private static ShareEntry<WaitingRequest> entry(WaitingRequest waiting) {
        return new ShareEntry<>(
                waiting,
                waiting.request().team(),
                waiting.work(),
                waiting.late(),
                waiting.returning(),
                waiting.firstArrivedNanos());
    }

    private boolean overloaded(PlacementRequest request, long nowNanos) {
        ServiceSharing sharing = mServices.get(request.service());
        return sharing != null && sharing.overloaded(nowNanos);
    }

    /** Returns the services that teams share now, as requests wait for lack of room. */
    Set<ServiceName> sharedServices(long nowNanos) {
        return mServices.entrySet().stream()
                .filter(entry -> entry.getValue().overloaded(nowNanos))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Records that a request found no room. */
    void recordShortage(ServiceName service, long nowNanos) {
        if (mEnabled) {
            sharing(service).recordShortage(nowNanos);
        }
    }

    /** Records that a waiting request was placed. */
    void recordPlacement(WaitingRequest waiting, long nowNanos) {
        PlacementRequest request = waiting.request();
        if (mEnabled) {
            sharing(request.service())
                    .recordPlacement(request.team(), request.priority(), waiting.work(), nowNanos);
        }
    }

    /** Records a running request that another scheduler placed. */
    void registerRunning(WaitingRequest running) {
        PlacementRequest request = running.request();
        if (mEnabled) {
            sharing(request.service())
                    .registerRunning(request.team(), request.priority(), running.work());
        }
    }

    /** Returns the time after which a rejected caller's turn comes, empty without overload. */
    OptionalLong returnNanos(WaitingRequest waiting, long maximumNanos, long nowNanos) {
        PlacementRequest request = waiting.request();
        ServiceSharing sharing = mServices.get(request.service());
        return sharing == null
                ? OptionalLong.empty()
                : sharing.returnNanos(
                        request.team(), request.priority(), waiting.work(), maximumNanos, nowNanos);
    }

    private ServiceSharing sharing(ServiceName service) {
        return mServices.computeIfAbsent(service, key -> new ServiceSharing(this::weight));
    }

    private double weight(String team) {
        RoutingTable routing = mRouting;
        return routing == null ? 1 : routing.teamWeight(team);
    }
}
