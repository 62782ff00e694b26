package dev.kumquatweir.core.routing;

import dev.kumquatweir.core.identity.ServiceName;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Routes, services and teams of one version, indexed for look-up. Immutable. */
public final class RoutingTable {
    private final long mVersion;
    private final Map<String, List<Route>> mRoutesByHost;
    private final Map<ServiceName, RoutedService> mServices;
    private final Map<String, RoutedTeam> mTeamsByKey;
    private final boolean mHasTeams;
    private final CallerLimits mLimits;

    /**
     * Indexes a version.
     *
     * @param version its number
     * @param routes routes; no two have the same host and prefix
     * @param services services that the routes name
     * @param teams teams; no two share a key
     * @param limits bounds on what callers send
     */
    public RoutingTable(
            long version,
            List<Route> routes,
            List<RoutedService> services,
            List<RoutedTeam> teams,
            CallerLimits limits) {
        mVersion = version;
        mRoutesByHost =
                routes.stream()
                        .sorted(Comparator.comparing(route -> -route.pathPrefix().length()))
                        .collect(Collectors.groupingBy(Route::host));
        mServices =
                services.stream()
                        .collect(Collectors.toMap(RoutedService::name, Function.identity()));
        mTeamsByKey = new HashMap<>();
        teams.forEach(team -> team.apiKeys().forEach(key -> mTeamsByKey.put(key, team)));
        mHasTeams = !teams.isEmpty();
        mLimits = limits;
    }

    /** Returns the version's number. */
    public long version() {
        return mVersion;
    }

    /** Returns the route with the longest prefix that begins the path. */
    public Optional<Route> match(String host, String path) {
        return mRoutesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns a service. */
    public Optional<RoutedService> service(ServiceName name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns the team that holds a key. */
    public Optional<RoutedTeam> teamOfKey(String key) {
        return Optional.ofNullable(mTeamsByKey.get(key));
    }

    /** Returns whether callers of a route have to show the key of a team. */
    public boolean requiresApiKey(Route route) {
        return mHasTeams && route.apiKeyRequired();
    }

    /** Returns the bounds on what callers send. */
    public CallerLimits limits() {
        return mLimits;
    }
}
