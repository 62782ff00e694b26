package dev.kumquatweir.core.configuration;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InvalidIdentifierException;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.TeamName;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Cluster-wide configuration set by operators, replicated to all instances. The version is not part
 * of the document; the replicated state machine keeps it. Immutable.
 *
 * @param profiles profiles by name
 * @param teams teams by name
 * @param services services by name
 * @param domainsOutOfService failure domains whose upstreams get no new requests
 * @param retiredUpstreams upstreams that get no new requests
 */
public record ConfigurationDocument(
        Map<ProfileName, Profile> profiles,
        Map<TeamName, Team> teams,
        Map<ServiceName, ServiceRoute> services,
        Set<FailureDomain> domainsOutOfService,
        Set<UpstreamId> retiredUpstreams) {

    /** An empty document. */
    public static final ConfigurationDocument EMPTY =
            new ConfigurationDocument(Map.of(), Map.of(), Map.of(), Set.of(), Set.of());

    /** Copies the collections, so that the record is immutable. */
    public ConfigurationDocument {
        profiles = Map.copyOf(profiles);
        teams = Map.copyOf(teams);
        services = Map.copyOf(services);
        domainsOutOfService = Set.copyOf(domainsOutOfService);
        retiredUpstreams = Set.copyOf(retiredUpstreams);
    }

    /** Returns a document with no failure domain out of service and no retired upstream. */
    public static ConfigurationDocument of(
            Collection<Profile> profiles,
            Collection<Team> teams,
            Collection<ServiceRoute> services) {
        return new ConfigurationDocument(
                byName(profiles, Profile::name),
                byName(teams, Team::name),
                byName(services, ServiceRoute::name),
                Set.of(),
                Set.of());
    }

    /** Returns a copy with exactly these failure domains out of service. */
    public ConfigurationDocument withDomainsOutOfService(Set<FailureDomain> domains) {
        return new ConfigurationDocument(profiles, teams, services, domains, retiredUpstreams);
    }

    /** Returns a copy with exactly these retired upstreams. */
    public ConfigurationDocument withRetiredUpstreams(Set<UpstreamId> upstreams) {
        return new ConfigurationDocument(profiles, teams, services, domainsOutOfService, upstreams);
    }

    /** Returns the profile that serves the model; of several, the first in the order of names. */
    public Optional<Profile> profileOfModel(ModelName model) {
        return profiles.values().stream()
                .filter(profile -> profile.models().contains(model))
                .min(Comparator.comparing(Profile::name));
    }

    /**
     * Returns the team that an API key belongs to, empty if the key is not valid. Keys have the
     * form {@code TEAM.SECRET}.
     */
    public Optional<Team> teamOfKey(String key) {
        int dot = key.lastIndexOf('.');
        if (dot <= 0) {
            return Optional.empty();
        }
        try {
            TeamName name = new TeamName(key.substring(0, dot));
            return Optional.ofNullable(teams.get(name)).filter(team -> team.keyHash().matches(key));
        } catch (InvalidIdentifierException exception) {
            return Optional.empty();
        }
    }

    /** Returns whether an upstream may get new requests under this document. */
    public boolean mayReceiveWork(UpstreamId upstream, FailureDomain domain) {
        return !domainsOutOfService.contains(domain) && !retiredUpstreams.contains(upstream);
    }

    private static <K, V> Map<K, V> byName(Collection<V> values, Function<V, K> name) {
        return values.stream().collect(Collectors.toMap(name, Function.identity()));
    }
}
