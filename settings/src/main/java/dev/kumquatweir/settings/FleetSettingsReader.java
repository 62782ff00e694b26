package dev.kumquatweir.settings;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Reads the settings of an instance that finds its peers by itself. Thread-safe. */
public final class FleetSettingsReader {
    private static final InstanceId INVALID_INSTANCE = new InstanceId("invalid");
    private static final FailureDomain INVALID_DOMAIN = new FailureDomain("invalid");
    private static final int LARGEST_PORT = 65_535;
    private static final int MOST_LOST_DISKS = 8;
    private static final double LONGEST_DRAIN_SECONDS = 43_200;
    private static final double LONGEST_WINDOW_SECONDS = 3_600;
    private static final double MOST_REPEATS_PER_SEND = 100;
    private static final double MOST_EXTRA_REPEATS = 1_000_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private FleetSettingsReader() {}

    /** Reads a file. */
    public static Either<SettingsFailure, FleetSettings> readFile(Path file) {
        return TomlDocument.load(file).flatMap(text -> readToml(file.toString(), text));
    }

    /** Reads a text; {@code file} is the name used in failures. */
    public static Either<SettingsFailure, FleetSettings> readToml(String file, String text) {
        return TomlDocument.read(file, text, FleetSettingsReader::settings);
    }

    private static FleetSettings settings(TomlTable root) {
        TomlTable instance = root.table("instance");
        TomlTable cluster = root.table("cluster");
        TomlTable listen = root.table("listen");
        TomlTable limits = root.table("limits");
        boolean voter = instance.has("data_folder");
        FleetSettings settings =
                new FleetSettings(
                        instance.text("name"),
                        instance.identifier("address", InstanceId::new, INVALID_INSTANCE),
                        instance.identifier("failure_domain", FailureDomain::new, INVALID_DOMAIN),
                        cluster.text("name"),
                        cluster.text("key"),
                        seeds(cluster),
                        (int) cluster.wholeNumber("peer_port", 1, LARGEST_PORT, 7340),
                        optionalAddress(listen, "callers"),
                        optionalAddress(listen, "readiness"),
                        optionalAddress(listen, "control"),
                        InstanceSettingsReader.address(listen, "metrics"),
                        voter
                                ? Optional.of(Path.of(instance.text("data_folder")))
                                : Optional.empty(),
                        cluster.flag("first_start", false),
                        (int) Math.ceil(cluster.decimal("lost_disks", 0, MOST_LOST_DISKS, 1)),
                        milliseconds(limits, "drain", 0, LONGEST_DRAIN_SECONDS, 8),
                        limits.decimal("repeat_ratio", 0, MOST_REPEATS_PER_SEND, 0.1),
                        // Rounded down, so that the budget is never exceeded.
                        (int) limits.decimal("repeat_extra", 0, MOST_EXTRA_REPEATS, 10),
                        milliseconds(limits, "repeat_window", 0.001, LONGEST_WINDOW_SECONDS, 10),
                        ConnectionSettings.read(limits),
                        SchedulingSettings.read(root.table("scheduling")));
        checkRole(listen, settings);
        List.of(instance, cluster, listen, limits).forEach(TomlTable::refuseUnknownKeys);
        return settings;
    }

    /**
     * Reads a duration from {@code NAME_seconds} or, as older files have it, {@code NAME_millis}.
     */
    private static long milliseconds(
            TomlTable limits,
            String name,
            double lowestSeconds,
            double highestSeconds,
            double otherwiseSeconds) {
        String millisKey = name + "_millis";
        if (limits.has(millisKey)) {
            return (long)
                    limits.decimal(
                            millisKey,
                            lowestSeconds * MILLIS_PER_SECOND,
                            highestSeconds * MILLIS_PER_SECOND,
                            otherwiseSeconds * MILLIS_PER_SECOND);
        }
        String secondsKey = name + "_seconds";
        double seconds =
                limits.decimal(secondsKey, lowestSeconds, highestSeconds, otherwiseSeconds);
        return (long) (seconds * MILLIS_PER_SECOND);
    }

    private static void checkRole(TomlTable listen, FleetSettings settings) {
        if (settings.callers().isPresent() && settings.readiness().isEmpty()) {
            listen.fault("readiness", "is missing; an instance with callers needs it");
        }
        if (settings.control().isPresent() && settings.dataFolder().isEmpty()) {
            listen.fault("control", "a control instance needs instance.data_folder");
        }
    }

    /** Seeds are separated by commas; their ports are those of operators and play no part here. */
    private static List<InstanceId> seeds(TomlTable cluster) {
        return Arrays.stream(cluster.text("seeds").split(","))
                .map(seed -> seed.strip().replaceFirst(":[0-9]*$", ""))
                .filter(seed -> !seed.isEmpty())
                .map(InstanceId::new)
                .toList();
    }

    private static Optional<InetSocketAddress> optionalAddress(TomlTable table, String key) {
        return table.has(key)
                ? Optional.of(InstanceSettingsReader.address(table, key))
                : Optional.empty();
    }
}
