package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.routing.EngineCost;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * The waiting requests of a scheduler, in the order in which it decides on them. Owned by {@link
 * PlacementScheduler}; not thread-safe.
 */
final class WaitingRequests {
    private final Map<PlacementKey, WaitingRequest> mRequests = new LinkedHashMap<>();
    private final Map<ServiceName, Integer> mCountByService = new HashMap<>();

    void add(WaitingRequest waiting) {
        PlacementRequest request = waiting.request();
        if (mRequests.put(request.key(), waiting) == null) {
            mCountByService.merge(request.service(), 1, Integer::sum);
        }
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

    /** Updates the cost model of the engines of each service. */
    void updateCosts(Function<ServiceName, Optional<EngineCost>> costs) {
        mRequests
                .values()
                .forEach(waiting -> waiting.updateCost(costs.apply(waiting.request().service())));
    }

    /** Starts a scheduling round and returns all requests in the order in which they are placed. */
    List<WaitingRequest> ordered(long nowNanos) {
        List<WaitingRequest> ordered = new ArrayList<>(mRequests.values());
        ordered.forEach(waiting -> waiting.beginRound(nowNanos));
        if (ordered.size() > 1) {
            ordered.sort(WaitingOrder.COMPARATOR);
        }
        return ordered;
    }
}
