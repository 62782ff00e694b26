package dev.kumquatweir.settings;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.configuration.ApiKeyHash;
import dev.kumquatweir.core.configuration.CallerDisconnectPolicy;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.configuration.OversizePolicy;
import dev.kumquatweir.core.configuration.Profile;
import dev.kumquatweir.core.configuration.RepeatableRoute;
import dev.kumquatweir.core.configuration.RequestClass;
import dev.kumquatweir.core.configuration.ServiceLevelObjective;
import dev.kumquatweir.core.configuration.ServiceRoute;
import dev.kumquatweir.core.configuration.Team;
import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.TeamName;
import dev.kumquatweir.core.identity.UpstreamId;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * Reads configuration documents: from TOML as people write them, and from the JSON form kept in the
 * replicated log. Both have the same keys. Thread-safe: holds no state.
 */
public final class ConfigurationReader {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long LONGEST_LIMIT_SECONDS = 12 * 3_600;
    private static final String STORED_DOCUMENT = "stored configuration";

    private ConfigurationReader() {}

    /** Reads a TOML file. */
    public static Either<SettingsFailure, ConfigurationDocument> readFile(Path file) {
        return TomlDocument.load(file).flatMap(text -> readToml(file.toString(), text));
    }

    /** Reads a TOML text; {@code file} is the name used in failures. */
    public static Either<SettingsFailure, ConfigurationDocument> readToml(
            String file, String text) {
        return TomlDocument.read(file, text, ConfigurationReader::document);
    }

    /** Reads the form that {@link ConfigurationWriter} writes. */
    public static Either<SettingsFailure, ConfigurationDocument> readStored(Bytes stored) {
        try {
            if (JSON.readTree(stored.toText()) instanceof ObjectNode root) {
                return TomlDocument.readTree(
                        STORED_DOCUMENT, root, LineIndex.none(), ConfigurationReader::document);
            }
            return Either.left(
                    new SettingsFailure.Unreadable(STORED_DOCUMENT, "is not a JSON object"));
        } catch (JacksonException exception) {
            return Either.left(
                    new SettingsFailure.Unreadable(
                            STORED_DOCUMENT, exception.getOriginalMessage()));
        }
    }

    private static ConfigurationDocument document(TomlTable root) {
        List<ServiceRoute> services =
                root.tables("services").stream().map(ConfigurationReader::service).toList();
        List<Profile> profiles =
                root.tables("profiles").stream().map(ConfigurationReader::profile).toList();
        List<Team> teams = root.tables("teams").stream().map(ConfigurationReader::team).toList();
        Set<FailureDomain> out = root.identifiers("domains_out", FailureDomain::new);
        Set<UpstreamId> retired = root.identifiers("retired_upstreams", UpstreamId::new);
        boolean servicesUnique = refuseDuplicates(root, "services", services, ServiceRoute::name);
        boolean profilesUnique = refuseDuplicates(root, "profiles", profiles, Profile::name);
        boolean teamsUnique = refuseDuplicates(root, "teams", teams, Team::name);
        if (!servicesUnique || !profilesUnique || !teamsUnique) {
            return ConfigurationDocument.EMPTY;
        }
        ConfigurationDocument document =
                ConfigurationDocument.of(profiles, teams, services)
                        .withDomainsOutOfService(out)
                        .withRetiredUpstreams(retired);
        refuseDanglingNames(root, document);
        return document;
    }

    private static ServiceRoute service(TomlTable table) {
        List<RepeatableRoute> routes =
                table.tables("repeatable").stream().map(ConfigurationReader::route).toList();
        ServiceRoute service =
                new ServiceRoute(
                        table.identifier("name", ServiceName::new, new ServiceName("invalid")),
                        table.choice("kind", UpstreamKind.class, UpstreamKind.ENGINE),
                        table.identifier("profile", ProfileName::new, new ProfileName("invalid")),
                        routes);
        table.refuseUnknownKeys();
        return service;
    }

    private static RepeatableRoute route(TomlTable table) {
        RepeatableRoute route = new RepeatableRoute(table.text("method"), table.text("path"));
        if (!route.pathPrefix().startsWith("/")) {
            table.fault("path", "a path that starts with / is allowed");
        }
        table.refuseUnknownKeys();
        return route;
    }

    private static Profile profile(TomlTable table) {
        RequestClass requestClass = table.choice("class", RequestClass.class, RequestClass.SHORT);
        Profile defaults =
                Profile.builder(
                                table.identifier(
                                        "name", ProfileName::new, new ProfileName("invalid")),
                                table.identifier(
                                        "service", ServiceName::new, new ServiceName("invalid")),
                                requestClass)
                        .build();
        Profile profile =
                Profile.builder(defaults.name(), defaults.service(), requestClass)
                        .timeLimitMillis(timeLimitMillis(table, defaults))
                        .priority((int) table.wholeNumber("priority", 0, 9, defaults.priority()))
                        .models(table.identifiers("models", ModelName::new))
                        .oversize(
                                table.choice("oversize", OversizePolicy.class, defaults.oversize()))
                        .repeatable(table.flag("repeatable", defaults.repeatable()))
                        .callerDisconnect(
                                table.choice(
                                        "on_caller_loss",
                                        CallerDisconnectPolicy.class,
                                        defaults.callerDisconnect()))
                        .teamShare(table.fraction("team_share", defaults.teamShare()))
                        .objective(objective(table.table("objective")))
                        .build();
        table.refuseUnknownKeys();
        return profile;
    }

    private static long timeLimitMillis(TomlTable table, Profile defaults) {
        long seconds = defaults.timeLimitMillis() / 1_000;
        return 1_000 * table.wholeNumber("time_limit_seconds", 1, LONGEST_LIMIT_SECONDS, seconds);
    }

    private static ServiceLevelObjective objective(TomlTable table) {
        ServiceLevelObjective defaults = ServiceLevelObjective.DEFAULT;
        ServiceLevelObjective objective =
                new ServiceLevelObjective(
                        table.fraction("in_time_share", defaults.inTimeShare()),
                        table.wholeNumber(
                                "first_token_millis", 0, 3_600_000, defaults.firstTokenMillis()),
                        table.fraction("first_token_share", defaults.firstTokenShare()));
        table.refuseUnknownKeys();
        return objective;
    }

    private static Team team(TomlTable table) {
        String salt = table.text("key_salt");
        if (!salt.matches("([0-9a-f]{2})+")) {
            table.fault("key_salt", "pairs of hexadecimal digits in lower case are allowed");
        }
        String digest = table.text("key_sha256");
        if (!digest.matches("[0-9a-f]{64}")) {
            table.fault("key_sha256", "64 hexadecimal digits in lower case are allowed");
        }
        Team team =
                new Team(
                        table.identifier("name", TeamName::new, new TeamName("invalid")),
                        new ApiKeyHash(salt, digest),
                        table.identifier(
                                "default_profile", ProfileName::new, new ProfileName("invalid")),
                        (int) table.wholeNumber("weight", 1, 1_000, 1));
        table.refuseUnknownKeys();
        return team;
    }

    private static <T, N> boolean refuseDuplicates(
            TomlTable root, String key, List<T> entries, Function<T, N> name) {
        Set<N> seen = new HashSet<>();
        boolean unique = true;
        for (int position = 0; position < entries.size(); position++) {
            N entryName = name.apply(entries.get(position));
            if (!seen.add(entryName)) {
                root.fault(key + "[" + position + "].name", "'" + entryName + "' stands twice");
                unique = false;
            }
        }
        return unique;
    }

    private static void refuseDanglingNames(TomlTable root, ConfigurationDocument document) {
        document.profiles().values().stream()
                .filter(profile -> !document.services().containsKey(profile.service()))
                .forEach(
                        profile ->
                                root.fault(
                                        "profiles",
                                        "profile '"
                                                + profile.name()
                                                + "' names the unknown service '"
                                                + profile.service()
                                                + "'"));
        document.teams().values().stream()
                .filter(team -> !document.profiles().containsKey(team.defaultProfile()))
                .forEach(
                        team ->
                                root.fault(
                                        "teams",
                                        "team '"
                                                + team.name()
                                                + "' names the unknown profile '"
                                                + team.defaultProfile()
                                                + "'"));
        document.services().values().stream()
                .filter(service -> !document.profiles().containsKey(service.profile()))
                .forEach(
                        service ->
                                root.fault(
                                        "services",
                                        "service '"
                                                + service.name()
                                                + "' names the unknown profile '"
                                                + service.profile()
                                                + "'"));
    }
}
