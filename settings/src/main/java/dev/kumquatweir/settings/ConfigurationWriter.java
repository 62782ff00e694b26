package dev.kumquatweir.settings;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.configuration.Profile;
import dev.kumquatweir.core.configuration.ServiceLevelObjective;
import dev.kumquatweir.core.configuration.ServiceRoute;
import dev.kumquatweir.core.configuration.Team;
import java.util.Collection;
import java.util.Comparator;

/**
 * Writes a configuration document as JSON with sorted entries, so that equal documents give equal
 * bytes. {@link ConfigurationReader#readStored} reads it back. Thread-safe: holds no state.
 */
public final class ConfigurationWriter {
    private static final ObjectMapper JSON = new ObjectMapper();

    private ConfigurationWriter() {}

    /** Returns the stored form. */
    public static Bytes toStored(ConfigurationDocument document) {
        return Bytes.ofText(toTree(document).toString());
    }

    /** Returns the tree that the stored form has, for programs. */
    public static ObjectNode toTree(ConfigurationDocument document) {
        ObjectNode root = JSON.createObjectNode();
        ArrayNode services = root.putArray("services");
        document.services().values().stream()
                .sorted(Comparator.comparing(ServiceRoute::name))
                .forEach(service -> writeService(services.addObject(), service));
        ArrayNode profiles = root.putArray("profiles");
        document.profiles().values().stream()
                .sorted(Comparator.comparing(Profile::name))
                .forEach(profile -> writeProfile(profiles.addObject(), profile));
        ArrayNode teams = root.putArray("teams");
        document.teams().values().stream()
                .sorted(Comparator.comparing(Team::name))
                .forEach(team -> writeTeam(teams.addObject(), team));
        writeNames(root.putArray("domains_out"), document.domainsOutOfService());
        writeNames(root.putArray("retired_upstreams"), document.retiredUpstreams());
        return root;
    }

    private static void writeService(ObjectNode node, ServiceRoute service) {
        node.put("name", service.name().value());
        node.put("kind", TomlTable.wireName(service.kind()));
        node.put("profile", service.profile().value());
        ArrayNode routes = node.putArray("repeatable");
        service.repeatableRoutes()
                .forEach(
                        route ->
                                routes.addObject()
                                        .put("method", route.method())
                                        .put("path", route.pathPrefix()));
    }

    private static void writeProfile(ObjectNode node, Profile profile) {
        node.put("name", profile.name().value());
        node.put("service", profile.service().value());
        node.put("class", TomlTable.wireName(profile.requestClass()));
        node.put("time_limit_seconds", profile.timeLimitMillis() / 1_000);
        node.put("priority", profile.priority());
        writeNames(node.putArray("models"), profile.models());
        node.put("oversize", TomlTable.wireName(profile.oversize()));
        node.put("repeatable", profile.repeatable());
        node.put("on_caller_loss", TomlTable.wireName(profile.callerDisconnect()));
        node.put("team_share", profile.teamShare());
        ServiceLevelObjective objective = profile.objective();
        node.putObject("objective")
                .put("in_time_share", objective.inTimeShare())
                .put("first_token_millis", objective.firstTokenMillis())
                .put("first_token_share", objective.firstTokenShare());
    }

    private static void writeTeam(ObjectNode node, Team team) {
        node.put("name", team.name().value());
        node.put("key_salt", team.keyHash().salt());
        node.put("key_sha256", team.keyHash().digest());
        node.put("default_profile", team.defaultProfile().value());
        node.put("weight", team.weight());
    }

    private static void writeNames(ArrayNode array, Collection<?> names) {
        names.stream().map(Object::toString).sorted().forEach(array::add);
    }
}
