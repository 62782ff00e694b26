package dev.kumquatweir.core.routing;

import dev.kumquatweir.core.identity.ServiceName;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Routes, services and teams of one version of the routing document, indexed for lookup. Immutable.
 */
public final class RoutingTable {
    private final long mVersion;
    private final Map<String, List<Route>> mRoutesByHost;
    private final Map<ServiceName, RoutedService> mServices;
    private final Map<String, RoutedTeam> mTeamsByKey;
    private final Map<String, Double> mTeamWeights = new HashMap<>();
    private final boolean mHasTeams;
    private final CallerLimits mLimits;

    /**
     * Indexes the content of one routing document.
     *
     * @param version version of the document
     * @param routes routes; no two have the same host and prefix
     * @param services services that the routes refer to
     * @param teams teams; no two share a key
     * @param limits limits on the requests of callers
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
        teams.forEach(team -> mTeamWeights.put(team.name(), team.weight()));
        mHasTeams = !teams.isEmpty();
        mLimits = limits;
    }

    /** Returns the version of the routing document. */
    public long version() {
        return mVersion;
    }

    /** Returns the route of the host with the longest prefix of the path. */
    public Optional<Route> match(String host, String path) {
        return mRoutesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns all routes. */
    public List<Route> routes() {
        return mRoutesByHost.values().stream().flatMap(List::stream).toList();
    }

    /** Returns the service of this name, empty if there is none. */
    public Optional<RoutedService> service(ServiceName name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns the team that an API key belongs to. */
    public Optional<RoutedTeam> teamOfKey(String key) {
        return Optional.ofNullable(mTeamsByKey.get(key));
    }

    /** Returns the weight of a team's share in scarce upstreams, 1 for an unknown team. */
    public double teamWeight(String team) {
        return mTeamWeights.getOrDefault(team, 1.0);
    }

    /** Returns whether callers of a route have to send an API key. Never, if there are no teams. */
    public boolean requiresApiKey(Route route) {
        return mHasTeams && route.apiKeyRequired();
    }

    /** Returns the limits on the requests of callers. */
    public CallerLimits limits() {
        return mLimits;
    }
}
