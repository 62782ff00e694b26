package dev.kumquatweir.core.routing;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A team and the keys that its callers show. Immutable.
 *
 * @param name name of the team
 * @param keys keys in force
 * @param priority rank of its requests, 0 first; empty if the route decides
 */
public record RoutedTeam(String name, Set<String> keys, OptionalInt priority) {
    /** Copies the set. */
    public RoutedTeam {
        keys = Set.copyOf(keys);
    }
}
