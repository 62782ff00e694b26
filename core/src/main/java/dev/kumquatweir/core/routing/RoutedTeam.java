package dev.kumquatweir.core.routing;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A team and the API keys of its callers. Immutable.
 *
 * @param name name of the team
 * @param apiKeys valid API keys
 * @param priority priority of its requests, 0 being the highest; empty to use that of the route
 * @param weight weight of its share in scarce upstreams, above 0
 */
public record RoutedTeam(String name, Set<String> apiKeys, OptionalInt priority, double weight) {
    /** Copies the set, so that the record is immutable. */
    public RoutedTeam {
        apiKeys = Set.copyOf(apiKeys);
    }

    /** Creates a team of weight 1. */
    public RoutedTeam(String name, Set<String> apiKeys, OptionalInt priority) {
        this(name, apiKeys, priority, 1);
    }
}
