package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Services of the routing table in force, by name. Not thread-safe. */
final class RoutedServices {
    private final Map<ServiceName, RoutedService> mServices = new HashMap<>();
    private @Nullable RoutingTable mRouting;

    void setRouting(RoutingTable routing) {
        mRouting = routing;
        mServices.clear();
    }

    Optional<RoutedService> find(ServiceName name) {
        RoutingTable routing = mRouting;
        if (routing == null) {
            return Optional.empty();
        }
        return Optional.ofNullable(
                mServices.computeIfAbsent(name, key -> routing.service(key).orElse(null)));
    }

    Optional<EngineCost> engineCost(ServiceName name) {
        return find(name).flatMap(RoutedService::engineCost);
    }
}
