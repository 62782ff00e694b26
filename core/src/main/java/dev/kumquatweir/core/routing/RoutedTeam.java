package dev.kumquatweir.core.routing;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A team and the keys that its callers show. Immutable.
 *
 * @param name name of the team
 * @param apiKeys keys in force
 * @param priority rank of its requests, 0 first; empty if the route decides
 */
public record RoutedTeam(String name, Set<String> apiKeys, OptionalInt priority) {
    /** Copies the set. */
    public RoutedTeam {
        apiKeys = Set.copyOf(apiKeys);
    }
}
