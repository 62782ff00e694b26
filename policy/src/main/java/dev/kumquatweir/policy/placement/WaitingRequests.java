package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.Route;
import dev.kumquatweir.core.routing.RoutingTable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * The waiting requests of a scheduler, in the order in which it decides on them. Owned by {@link
 * PlacementScheduler}; not thread-safe.
 */
final class WaitingRequests {
    private final Map<PlacementKey, WaitingRequest> mRequests = new LinkedHashMap<>();
    private final Map<ServiceName, Integer> mCountByService = new HashMap<>();
    private final RecentRejections mRejections = new RecentRejections();
    private final Map<String, Long> mTimeoutNanosByRoute = new HashMap<>();
    private final TeamOrder mTeamOrder;

    WaitingRequests(SchedulerFeatures features) {
        mTeamOrder = new TeamOrder(features.teamSharing());
    }

    /** Sets the routes, and the cost model of the engines of each service. */
    void setRouting(RoutingTable routing, Function<ServiceName, Optional<EngineCost>> costs) {
        mTeamOrder.setRouting(routing);
        mTimeoutNanosByRoute.clear();
        for (Route route : routing.routes()) {
            mTimeoutNanosByRoute.merge(
                    route.name(), TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis()), Math::max);
        }
        mRequests
                .values()
                .forEach(waiting -> waiting.updateCost(costs.apply(waiting.request().service())));
    }

    /**
     * Adds a request. One that its caller sends again after a rejection keeps its first target.
     *
     * @param cost cost model of the engines of its service; empty for a plain service
     */
    void add(PlacementRequest request, Optional<EngineCost> cost, long nowNanos) {
        PlacementRequest recognised = mRejections.recognise(request, nowNanos);
        long ageNanos = request.targetNanos() - recognised.targetNanos();
        WaitingRequest waiting =
                new WaitingRequest(recognised, cost, nowNanos - ageNanos, nowNanos);
        if (mRequests.put(request.key(), waiting) == null) {
            mCountByService.merge(request.service(), 1, Integer::sum);
        }
    }

    /** Removes a request that is placed. */
    void place(PlacementRequest request, long nowNanos) {
        @Nullable WaitingRequest waiting = mRequests.get(request.key());
        if (waiting != null) {
            mTeamOrder.recordPlacement(waiting, nowNanos);
        }
        remove(request.key());
    }

    /** Records a running request that another scheduler placed. */
    void registerRunning(PlacementRequest request, Optional<EngineCost> cost, long nowNanos) {
        mTeamOrder.registerRunning(new WaitingRequest(request, cost, nowNanos));
    }

    /** Returns the services that teams share now, as requests wait for lack of room. */
    Set<ServiceName> sharedServices(long nowNanos) {
        return mTeamOrder.sharedServices(nowNanos);
    }

    /** Records that a request found no room on the upstreams of its service. */
    void recordShortage(PlacementRequest request, long nowNanos) {
        mTeamOrder.recordShortage(request.service(), nowNanos);
    }

    /**
     * Returns the time in nanoseconds after which the caller of a request should return if it is
     * rejected now: when the share of its team reaches it. Empty without overload.
     */
    OptionalLong returnNanos(PlacementRequest request, long maximumNanos, long nowNanos) {
        @Nullable WaitingRequest waiting = mRequests.get(request.key());
        return waiting == null
                ? OptionalLong.empty()
                : mTeamOrder.returnNanos(waiting, maximumNanos, nowNanos);
    }

    /** Removes a request that is rejected, to recognise it when its caller sends it again. */
    void reject(PlacementRequest request, long retryAfterMillis, long nowNanos) {
        @Nullable WaitingRequest waiting = mRequests.get(request.key());
        long arrivedNanos = waiting == null ? nowNanos : waiting.arrivedNanos();
        long timeoutNanos = mTimeoutNanosByRoute.getOrDefault(request.route(), 0L);
        mRejections.add(request, arrivedNanos, timeoutNanos, retryAfterMillis, nowNanos);
        remove(request.key());
    }

    void remove(PlacementKey key) {
        @Nullable WaitingRequest removed = mRequests.remove(key);
        if (removed != null) {
            mCountByService.merge(removed.request().service(), -1, Integer::sum);
        }
    }

    void removeOwner(InstanceId owner) {
        List<PlacementKey> orphaned =
                mRequests.keySet().stream().filter(key -> key.owner().equals(owner)).toList();
        orphaned.forEach(this::remove);
    }

    int size() {
        return mRequests.size();
    }

    int size(ServiceName service) {
        return mCountByService.getOrDefault(service, 0);
    }

    /** Starts a scheduling round and returns all requests in the order in which they are placed. */
    List<WaitingRequest> ordered(long nowNanos) {
        List<WaitingRequest> ordered = new ArrayList<>(mRequests.values());
        ordered.forEach(waiting -> waiting.beginRound(nowNanos));
        return ordered.isEmpty() ? ordered : mTeamOrder.sort(ordered, nowNanos);
    }
}
