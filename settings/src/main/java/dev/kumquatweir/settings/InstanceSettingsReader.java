package dev.kumquatweir.settings;

import dev.kumquatweir.core.configuration.ApiKeyHash;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the settings of an instance from TOML. Thread-safe: holds no state. */
public final class InstanceSettingsReader {
    private static final Pattern ADDRESS =
            Pattern.compile("((?:[0-9]{1,3}\\.){3}[0-9]{1,3}|\\[[0-9A-Fa-f:]+]):([0-9]{1,5})");
    private static final InstanceId INVALID_INSTANCE = new InstanceId("invalid");
    private static final FailureDomain INVALID_DOMAIN = new FailureDomain("invalid");
    private static final int SHORTEST_KEY = 16;
    private static final long DEFAULT_BODY_BYTES = 16L * 1024 * 1024;
    private static final long LARGEST_BODY_BYTES = 256L * 1024 * 1024;

    private InstanceSettingsReader() {}

    /** Reads a file. Paths in it are taken relative to the folder of the file. */
    public static Either<SettingsFailure, InstanceSettings> readFile(Path file) {
        Path folder = Optional.ofNullable(file.toAbsolutePath().getParent()).orElse(file);
        return TomlDocument.load(file).flatMap(text -> readToml(file.toString(), folder, text));
    }

    /** Reads a text; {@code file} is the name used in failures, {@code folder} resolves paths. */
    public static Either<SettingsFailure, InstanceSettings> readToml(
            String file, Path folder, String text) {
        return TomlDocument.read(file, text, root -> instance(root, folder));
    }

    private static InstanceSettings instance(TomlTable root, Path folder) {
        TomlTable instance = root.table("instance");
        InstanceId id = instance.identifier("id", InstanceId::new, INVALID_INSTANCE);
        FailureDomain domain =
                instance.identifier("failure_domain", FailureDomain::new, INVALID_DOMAIN);
        Optional<Path> dataFolder = path(instance, "data_folder", folder);
        instance.refuseUnknownKeys();
        TomlTable cluster = root.table("cluster");
        List<PeerSettings> peers =
                cluster.tables("instances").stream().map(InstanceSettingsReader::peer).toList();
        InstanceSettings settings =
                new InstanceSettings(
                        id,
                        domain,
                        dataFolder,
                        listen(root.table("listen")),
                        cluster.text("name"),
                        key(cluster, "key"),
                        key(cluster, "announce_key"),
                        peers,
                        limits(root.table("limits")),
                        root.tables("operators").stream()
                                .map(InstanceSettingsReader::operator)
                                .toList(),
                        path(cluster, "first_configuration", folder));
        checkPeers(cluster, settings);
        cluster.refuseUnknownKeys();
        return settings;
    }

    private static ListenSettings listen(TomlTable table) {
        ListenSettings listen =
                new ListenSettings(
                        address(table, "caller"),
                        address(table, "upstream"),
                        address(table, "operator"));
        table.refuseUnknownKeys();
        return listen;
    }

    private static LimitSettings limits(TomlTable table) {
        LimitSettings limits =
                new LimitSettings(
                        table.wholeNumber(
                                "body_bytes", 1_024, LARGEST_BODY_BYTES, DEFAULT_BODY_BYTES),
                        (int) table.wholeNumber("running_requests", 1, 100_000, 4_000),
                        1_000 * table.wholeNumber("idle_connection_seconds", 1, 86_400, 300),
                        1_000 * table.wholeNumber("drain_seconds", 1, 43_200, 1_800),
                        ConnectionSettings.read(table));
        table.refuseUnknownKeys();
        return limits;
    }

    private static PeerSettings peer(TomlTable table) {
        PeerSettings peer =
                new PeerSettings(
                        table.identifier("id", InstanceId::new, INVALID_INSTANCE),
                        address(table, "address"),
                        table.identifier("failure_domain", FailureDomain::new, INVALID_DOMAIN),
                        table.flag("voter", false));
        table.refuseUnknownKeys();
        return peer;
    }

    private static OperatorSettings operator(TomlTable table) {
        OperatorSettings operator =
                new OperatorSettings(
                        table.text("name"),
                        new ApiKeyHash(table.text("key_salt"), table.text("key_sha256")));
        table.refuseUnknownKeys();
        return operator;
    }

    private static void checkPeers(TomlTable cluster, InstanceSettings settings) {
        List<PeerSettings> own =
                settings.peers().stream().filter(peer -> peer.id().equals(settings.id())).toList();
        if (own.size() != 1) {
            cluster.fault("instances", "must name instance '" + settings.id() + "' exactly once");
            return;
        }
        if (!own.get(0).domain().equals(settings.domain())) {
            cluster.fault("instances", "names another failure domain for this instance");
        }
        if (own.get(0).voter() && settings.dataFolder().isEmpty()) {
            cluster.fault("instances", "a voter needs instance.data_folder");
        }
        long distinct = settings.peers().stream().map(PeerSettings::id).distinct().count();
        if (distinct != settings.peers().size()) {
            cluster.fault("instances", "names an instance twice");
        }
        if (settings.peers().stream().anyMatch(peer -> peer.id().value().indexOf('/') >= 0)) {
            // A slash ends the attempt's id in the handle of a KV export.
            cluster.fault("instances", "a name must not have a slash");
        }
        long voters = settings.peers().stream().filter(PeerSettings::voter).count();
        if (voters % 2 == 0) {
            cluster.fault("instances", "an odd number of voters is allowed, not " + voters);
        }
    }

    private static String key(TomlTable table, String name) {
        String key = table.text(name);
        if (key.length() < SHORTEST_KEY) {
            table.fault(name, "a text of at least " + SHORTEST_KEY + " characters is allowed");
        }
        return key;
    }

    private static Optional<Path> path(TomlTable table, String key, Path folder) {
        return table.has(key) ? Optional.of(folder.resolve(table.text(key))) : Optional.empty();
    }

    static InetSocketAddress address(TomlTable table, String key) {
        String text = table.text(key);
        Matcher matcher = ADDRESS.matcher(text);
        int port = matcher.matches() ? Integer.parseInt(matcher.group(2)) : -1;
        if (port < 0 || port > 65_535) {
            table.fault(key, "an IP address and port such as 127.0.0.1:7000 is allowed");
            return InetSocketAddress.createUnresolved("invalid", 0);
        }
        return new InetSocketAddress(matcher.group(1), port);
    }
}
